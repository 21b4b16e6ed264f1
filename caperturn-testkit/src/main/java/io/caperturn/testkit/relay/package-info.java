/** TCP relay that fails on demand. */
package io.caperturn.testkit.relay;
