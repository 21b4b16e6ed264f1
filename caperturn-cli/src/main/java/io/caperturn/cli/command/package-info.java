/** Commands of the command line with their options. */
package io.caperturn.cli.command;
