/** Decision logic of a sidecar as a state machine: ledger of attempts, slots, windows and drain. */
package io.caperturn.core.sidecar;
