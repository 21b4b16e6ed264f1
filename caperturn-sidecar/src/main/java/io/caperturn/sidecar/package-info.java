/** The sidecar process, which runs the tasks of all entries at one upstream. */
package io.caperturn.sidecar;
