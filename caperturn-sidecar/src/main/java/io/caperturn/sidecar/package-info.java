/** The sidecar process, which receives tasks from entries and starts them at one upstream. */
package io.caperturn.sidecar;
