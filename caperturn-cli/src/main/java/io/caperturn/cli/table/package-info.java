/** Commands that show, change, import and export the table of weights and limits. */
package io.caperturn.cli.table;
