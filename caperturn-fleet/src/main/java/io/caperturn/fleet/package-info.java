/**
 * Processes that serve jobs on the users' platform: entries accept jobs, and sidecars start their tasks at upstreams.
 */
package io.caperturn.fleet;
