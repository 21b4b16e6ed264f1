/** Measurements of what an entry costs; each is run by name with {@code -Dtest=NAME}. */
package io.caperturn.entry.measurement;
