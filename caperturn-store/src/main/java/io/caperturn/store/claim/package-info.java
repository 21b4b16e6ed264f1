/** Durable claims of entries on submissions, written to the store in batches. */
package io.caperturn.store.claim;
