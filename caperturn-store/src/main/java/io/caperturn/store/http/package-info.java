/** Adapter of the store to HTTP and JSON. */
package io.caperturn.store.http;
