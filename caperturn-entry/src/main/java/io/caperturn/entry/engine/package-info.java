/**
 * Event loop that runs the entry process's state machine and executes its commands, and registry of the waiting
 * clients.
 */
package io.caperturn.entry.engine;
