/** The sidecar process, which starts the tasks that entries send to it at one upstream. */
package io.caperturn.sidecar;
