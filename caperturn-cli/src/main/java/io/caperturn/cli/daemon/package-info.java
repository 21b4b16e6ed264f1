/** Running of an entry or sidecar process from its start until it is drained and stopped. */
package io.caperturn.cli.daemon;
