/**
 * Links (connections) to sidecar processes and other entry processes: conversion of frames to events and back, and
 * relays of submissions to the entries that own them.
 */
package io.caperturn.entry.link;
