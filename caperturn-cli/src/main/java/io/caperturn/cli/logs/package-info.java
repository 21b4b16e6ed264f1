/** Reading of collected logs: the story of one job, and what is not known of it. */
package io.caperturn.cli.logs;
