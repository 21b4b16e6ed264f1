/** The operators' table as an entry holds it, and its HTTP interface. */
package io.caperturn.entry.table;
