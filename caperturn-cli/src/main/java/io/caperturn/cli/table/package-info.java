/** Showing, editing, importing and exporting the table of weights and limits. */
package io.caperturn.cli.table;
