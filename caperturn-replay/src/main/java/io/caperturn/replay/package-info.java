/**
 * Replay of traces (recorded or generated sequences of submissions and faults) through the decision logic of entries
 * and sidecars, in virtual time.
 */
package io.caperturn.replay;
