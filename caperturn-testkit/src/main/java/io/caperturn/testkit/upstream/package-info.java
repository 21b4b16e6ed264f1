/** Stand-in for an upstream, which keeps its own record of the tasks that it started. */
package io.caperturn.testkit.upstream;
