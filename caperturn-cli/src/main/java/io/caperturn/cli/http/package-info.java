/** HTTP client of entries. */
package io.caperturn.cli.http;
