/** Measurements of whole processes, run by hand; their figures are on the page on capacity. */
package io.caperturn.proofs.measurement;
