/** Settings of entry and sidecar, read from JSON and checked. */
package io.caperturn.settings;
