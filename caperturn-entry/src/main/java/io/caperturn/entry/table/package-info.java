/** Table of kinds and teams that operators edit: the copy that an entry holds, and the HTTP interface to the store. */
package io.caperturn.entry.table;
