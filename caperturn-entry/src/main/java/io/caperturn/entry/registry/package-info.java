/**
 * Registration of this entry process and its sidecar processes in the platform's store, and adoption of the submissions
 * of lost entries.
 */
package io.caperturn.entry.registry;
