/** HTTP client of entry processes. */
package io.caperturn.cli.http;
