/** Support for known test failures, which are listed in {@code KNOWN-RED.txt} and don't fail the build. */
package io.caperturn.testkit.known;
