/** The sidecar's decisions: which runs start on its upstream, how they are held, and when they are known to be over. */
package io.caperturn.jobs.upstream;
