/** Checked JSON settings of the daemons. */
package io.caperturn.settings;
