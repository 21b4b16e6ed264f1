/** Explanation of what happened to a submission, from the history that entries keep. */
package io.caperturn.cli.explain;
