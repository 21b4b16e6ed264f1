/** Running a daemon from start to drained stop. */
package io.caperturn.cli.daemon;
