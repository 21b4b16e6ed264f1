/** Replay in virtual time: the real decision logic, back ends of a speed and a slot count, and links of a delay. */
package io.caperturn.replay.simulation;
