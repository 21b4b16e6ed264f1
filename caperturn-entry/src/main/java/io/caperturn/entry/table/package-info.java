/**
 * Table of weights and limits that operators edit: the copy that an entry holds, and HTTP access to the store's table.
 */
package io.caperturn.entry.table;
