/** The sidecar process, which receives tasks from entry processes and starts them at one upstream. */
package io.caperturn.sidecar;
