/** Stand-ins for the platform and the upstreams, a failing relay, and the harness of processes. */
package io.caperturn.testkit;
