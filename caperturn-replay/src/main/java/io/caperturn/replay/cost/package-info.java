/** Cost of decisions in processor time and memory. */
package io.caperturn.replay.cost;
