/** Links between processes: framing, identity, heartbeats and the translation between messages and domain records. */
package io.caperturn.wire;
