/** The table of weights and limits in the store: watched by entries, edited by operators. */
package io.caperturn.store.table;
