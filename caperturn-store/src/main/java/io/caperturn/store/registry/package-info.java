/** Entries that are registered in the store. */
package io.caperturn.store.registry;
