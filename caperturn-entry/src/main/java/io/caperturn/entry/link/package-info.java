/** Links to sidecars and other entries: translation of frames, and relays to owners. */
package io.caperturn.entry.link;
