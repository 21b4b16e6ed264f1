/** Reports on single jobs from collected logs. */
package io.caperturn.cli.logs;
