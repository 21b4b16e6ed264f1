/** Claims, the stored records by which one entry process at a time owns a submission. */
package io.caperturn.entry.claim;
