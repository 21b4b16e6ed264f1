/**
 * Decision logic of an entry (a process that accepts submissions) as a state machine that maps typed events to typed
 * commands and does no input or output.
 */
package io.caperturn.core.entry;
