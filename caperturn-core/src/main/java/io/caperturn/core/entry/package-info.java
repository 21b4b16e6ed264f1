/** The decision logic of an entry as a state machine: typed events in, typed commands out, no input or output. */
package io.caperturn.core.entry;
