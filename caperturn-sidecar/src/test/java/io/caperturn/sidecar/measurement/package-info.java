/**
 * Measurements of what a sidecar costs. Their names keep them out of the ordinary test run; each is run by name with
 * {@code -Dtest=NAME} and prints lines of key=value pairs.
 */
package io.caperturn.sidecar.measurement;
