/**
 * Registration of this entry and of its sidecars in the platform's store, and adoption of the claims of lost entries.
 */
package io.caperturn.entry.registry;
