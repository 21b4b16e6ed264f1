/** Stand-ins for the platform, upstreams and network in tests, and a harness that runs programs as processes. */
package io.caperturn.testkit;
