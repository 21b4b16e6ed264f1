/** Services of the sidecar process; not for use by other modules. */
package io.caperturn.sidecar.internal;
