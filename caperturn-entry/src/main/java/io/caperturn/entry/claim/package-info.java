/** Durable claims of submissions. */
package io.caperturn.entry.claim;
