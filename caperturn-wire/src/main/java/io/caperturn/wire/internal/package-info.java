/** Netty handlers behind the links; no API. */
package io.caperturn.wire.internal;
