/** Tests of real processes against stand-ins of the users' platform over HTTP: its store, executors and callers. */
package io.caperturn.fleet.standin;
