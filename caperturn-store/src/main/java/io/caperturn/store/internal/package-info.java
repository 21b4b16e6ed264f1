/** Shapes of rows and messages in JSON; no API. */
package io.caperturn.store.internal;
