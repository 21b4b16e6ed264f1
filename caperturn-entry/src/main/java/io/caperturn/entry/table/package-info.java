/**
 * The operators' table of weights and limits: the copy that an entry process holds, and HTTP access to the store's
 * table.
 */
package io.caperturn.entry.table;
