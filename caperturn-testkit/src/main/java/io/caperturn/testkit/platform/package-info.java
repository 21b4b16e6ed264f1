/** Stand-in for the platform's table service, which stores caperturn's claims and tables. */
package io.caperturn.testkit.platform;
