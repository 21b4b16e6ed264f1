/** Stand-in for the platform's table service. */
package io.caperturn.testkit.platform;
