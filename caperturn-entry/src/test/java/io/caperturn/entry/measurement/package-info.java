/** Measurements of the resources that an entry process uses; each is run by name with {@code -Dtest=NAME}. */
package io.caperturn.entry.measurement;
