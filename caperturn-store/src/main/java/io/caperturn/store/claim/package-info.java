/** Durable claims on jobs, written in groups. */
package io.caperturn.store.claim;
