/** Micro-kernel: a registry of services, worker threads with bounded queues, and log lines of key=value pairs. */
package io.caperturn.kernel;
