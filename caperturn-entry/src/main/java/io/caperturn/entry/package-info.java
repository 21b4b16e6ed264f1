/** Entry daemon: accepts submissions from callers, assigns their tasks to sidecars and returns one answer to each. */
package io.caperturn.entry;
