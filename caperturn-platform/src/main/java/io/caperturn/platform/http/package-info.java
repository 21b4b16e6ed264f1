/** Adapter of the store to HTTP and JSON. */
package io.caperturn.platform.http;
