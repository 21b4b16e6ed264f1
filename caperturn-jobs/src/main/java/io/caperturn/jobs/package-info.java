/**
 * Dispatch of jobs on the platform: decision logic of entries (processes that accept jobs) and sidecars (processes
 * beside the upstreams that run their tasks), and the ports through which that logic acts.
 */
package io.caperturn.jobs;
