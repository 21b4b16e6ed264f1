/** Commands with their options, and the parser of the command line. */
package io.caperturn.cli.command;
