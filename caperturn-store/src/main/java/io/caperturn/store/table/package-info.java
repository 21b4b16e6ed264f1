/** The table of weights and limits in the store, which operators edit and entry processes watch for changes. */
package io.caperturn.store.table;
