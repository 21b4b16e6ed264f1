/** Explaining what happened to one submission. */
package io.caperturn.cli.explain;
