/** Scheduling policies of a replay: the schedulers of Caperturn and the baselines. */
package io.caperturn.replay.policy;
