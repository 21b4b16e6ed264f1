/** Membership of entries, and the sidecars that each entry may send claimed work to, as recorded in the store. */
package io.caperturn.store.registry;
