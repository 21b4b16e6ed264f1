/** Basic parts of a process: a registry of services, worker threads with bounded queues, and key=value log lines. */
package io.caperturn.kernel;
