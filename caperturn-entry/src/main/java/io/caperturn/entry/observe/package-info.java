/** Log lines, metrics and recent history of what happens to the submissions of an entry process. */
package io.caperturn.entry.observe;
