/** Durable claims of entry processes on submissions, written to the store in batches. */
package io.caperturn.store.claim;
