/** Purpose of this module. */
package io.caperturn.replay;
