/** Entries that are registered in the store. */
package io.caperturn.platform.registry;
