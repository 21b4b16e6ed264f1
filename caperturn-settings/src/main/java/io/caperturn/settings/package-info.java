/** Purpose of this module. */
package io.caperturn.settings;
