/** State of the system as entries see it. */
package io.caperturn.cli.status;
