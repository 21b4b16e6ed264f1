/**
 * Entry process: accepts submissions from callers, assigns their tasks to sidecar processes and answers each
 * submission.
 */
package io.caperturn.entry;
