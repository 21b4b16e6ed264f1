/**
 * Replay of traces (recorded or generated sequences of submissions and faults) through the decision logic of entry and
 * sidecar processes, in virtual time.
 */
package io.caperturn.replay;
