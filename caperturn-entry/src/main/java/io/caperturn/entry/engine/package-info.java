/** Service that runs the entry's state machine and carries out its commands. */
package io.caperturn.entry.engine;
