/** HTTP server that the stand-ins share. */
package io.caperturn.testkit.http;
