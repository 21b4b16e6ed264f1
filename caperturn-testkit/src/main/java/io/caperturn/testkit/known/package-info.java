/** Failures that are known and listed, so that a run passes over just these. */
package io.caperturn.testkit.known;
