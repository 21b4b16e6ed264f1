/**
 * Membership of entry processes, and the sidecar processes that each entry may send claimed work to, as recorded in the
 * store.
 */
package io.caperturn.store.registry;
