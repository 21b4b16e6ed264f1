/** Replay in virtual time: the real decision logic, with simulated clients, upstreams and network delays. */
package io.caperturn.replay.simulation;
