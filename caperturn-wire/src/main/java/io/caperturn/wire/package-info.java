/** Links between processes: framing, identity, heartbeats and the conversion between messages and domain records. */
package io.caperturn.wire;
