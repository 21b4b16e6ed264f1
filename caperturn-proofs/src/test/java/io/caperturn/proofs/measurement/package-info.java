/** Measurements of whole processes, run manually; {@code docs/CAPACITY.md} shows their results. */
package io.caperturn.proofs.measurement;
