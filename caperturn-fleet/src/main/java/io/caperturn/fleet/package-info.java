/** Entry and sidecar processes that serve jobs on the users' platform, with their links, event loop and log. */
package io.caperturn.fleet;
