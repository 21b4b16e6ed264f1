/** Explanation of what happened to a submission, from the history that entry processes keep. */
package io.caperturn.cli.explain;
