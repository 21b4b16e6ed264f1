/** HTTP interface to callers and operators. */
package io.caperturn.entry.http;
