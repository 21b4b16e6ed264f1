/** Programs and whole clusters run as separate processes, and the client that tests use with them. */
package io.caperturn.testkit.process;
