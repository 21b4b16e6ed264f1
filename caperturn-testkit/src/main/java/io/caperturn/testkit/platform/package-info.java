/** Stand-in for the platform's table service, in which caperturn stores its data. */
package io.caperturn.testkit.platform;
