/** Stand-ins of the users' platform over HTTP: its store, an executor beside a sidecar, an operator and a caller. */
package io.caperturn.fleet.standin;
