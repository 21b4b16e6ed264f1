/** Daemon that takes submissions from callers, decides where their tasks run, and gives each its one answer. */
package io.caperturn.entry;
