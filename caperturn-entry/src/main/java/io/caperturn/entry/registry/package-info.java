/**
 * Registration of this entry and its sidecars in the platform's store, and adoption of the submissions of lost entries.
 */
package io.caperturn.entry.registry;
