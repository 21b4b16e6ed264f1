/** Replay of recorded or generated traces through the decision logic, in virtual time. */
package io.caperturn.replay;
