/** Micro-kernel: services that find each other by name, and duties joined by bounded rings. */
package io.caperturn.kernel;
