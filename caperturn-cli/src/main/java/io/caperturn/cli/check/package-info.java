/** Checking settings files. */
package io.caperturn.cli.check;
