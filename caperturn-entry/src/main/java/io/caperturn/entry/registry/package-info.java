/** Registration of this entry and its sidecars in the platform's store, and adoption from entries that are lost. */
package io.caperturn.entry.registry;
