/** Programs as separate processes, and clusters of them. */
package io.caperturn.testkit.process;
