/** The decision logic of a sidecar as a state machine: ledger of starts, slots, windows and drain. */
package io.caperturn.core.sidecar;
