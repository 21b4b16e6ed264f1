/** Netty handlers of the links; not part of the module's API. */
package io.caperturn.wire.internal;
