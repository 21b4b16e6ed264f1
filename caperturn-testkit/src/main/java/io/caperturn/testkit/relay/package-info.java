/** TCP relay that simulates network faults. */
package io.caperturn.testkit.relay;
