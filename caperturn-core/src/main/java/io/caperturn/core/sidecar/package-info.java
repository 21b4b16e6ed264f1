/**
 * Decision logic of a sidecar (the process beside an upstream that starts tasks there) as a state machine that maps
 * typed events to typed commands and does no input or output.
 */
package io.caperturn.core.sidecar;
