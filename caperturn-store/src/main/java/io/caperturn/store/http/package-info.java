/** Implementation of the store client over HTTP and JSON. */
package io.caperturn.store.http;
