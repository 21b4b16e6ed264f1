/** What an entry tells of itself: log lines, metrics and the history of submissions. */
package io.caperturn.entry.observe;
