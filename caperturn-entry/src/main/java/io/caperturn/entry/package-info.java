/** Entry daemon: accepts submissions from callers, assigns their tasks to sidecars and answers each submission. */
package io.caperturn.entry;
