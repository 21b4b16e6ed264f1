/** Settings of the entry process and the sidecar process, read from JSON and checked. */
package io.caperturn.settings;
