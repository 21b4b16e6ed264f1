/** The processes that serve stored jobs, with their links, their loop and their log. */
package io.caperturn.fleet;
