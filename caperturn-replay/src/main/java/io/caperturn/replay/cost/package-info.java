/** Measurement of the processor time and memory that scheduling decisions take. */
package io.caperturn.replay.cost;
