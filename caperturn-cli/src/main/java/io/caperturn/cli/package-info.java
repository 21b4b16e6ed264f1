/** Entry point of the command line, its exit codes and its output streams. */
package io.caperturn.cli;
