/** Shapes of rows and messages in JSON; no API. */
package io.caperturn.platform.internal;
