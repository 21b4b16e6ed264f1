/** Parsing and the two passes of checks; no API. */
package io.caperturn.settings.internal;
