/** Stored jobs: what entries and sidecars decide about them, and the ports through which they act. */
package io.caperturn.jobs;
