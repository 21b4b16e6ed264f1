/** Stand-in for an upstream, with its own record of starts. */
package io.caperturn.testkit.upstream;
