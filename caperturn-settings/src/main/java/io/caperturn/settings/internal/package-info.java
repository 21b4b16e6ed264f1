/** Parsing and the two passes of checks; not part of the module's API. */
package io.caperturn.settings.internal;
