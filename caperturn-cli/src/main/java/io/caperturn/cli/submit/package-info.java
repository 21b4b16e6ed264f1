/** Submitting a job or a request and reporting its answer. */
package io.caperturn.cli.submit;
