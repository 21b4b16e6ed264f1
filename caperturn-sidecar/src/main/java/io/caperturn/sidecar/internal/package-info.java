/** Services of the sidecar; no API. */
package io.caperturn.sidecar.internal;
