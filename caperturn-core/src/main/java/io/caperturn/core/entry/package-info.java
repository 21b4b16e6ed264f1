/**
 * Decision logic of an entry as a state machine that maps typed events to typed commands and does no input or output.
 */
package io.caperturn.core.entry;
