/** Policies that a trace is replayed with: the product's schedulers and the baselines. */
package io.caperturn.replay.policy;
