/** HTTP server and JSON conversion shared by the stand-ins. */
package io.caperturn.testkit.http;
