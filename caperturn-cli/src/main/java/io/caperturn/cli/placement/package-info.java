/** Command that shows where the tasks of a job would go. */
package io.caperturn.cli.placement;
