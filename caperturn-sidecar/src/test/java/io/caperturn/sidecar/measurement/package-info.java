/**
 * Measurements of the resources that a sidecar process uses. Their class names don't match the pattern of the normal
 * test run; each is run by name with {@code -Dtest=NAME} and prints lines of key=value pairs.
 */
package io.caperturn.sidecar.measurement;
