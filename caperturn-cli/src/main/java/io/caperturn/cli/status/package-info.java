/** State of the system as reported by entries. */
package io.caperturn.cli.status;
