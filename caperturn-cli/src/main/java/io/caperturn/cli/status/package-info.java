/** State of the system as reported by entry processes. */
package io.caperturn.cli.status;
