/** Service that runs the entry's state machine on one thread and executes its commands. */
package io.caperturn.entry.engine;
