/** Checks of settings files. */
package io.caperturn.cli.check;
