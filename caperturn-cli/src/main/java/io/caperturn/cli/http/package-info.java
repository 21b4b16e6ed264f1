/** Exchanges with an entry over HTTP. */
package io.caperturn.cli.http;
