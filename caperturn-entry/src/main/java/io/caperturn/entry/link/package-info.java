/**
 * Links (connections) to sidecars and other entries: conversion of frames to events and back, and relays of submissions
 * to the entries that own them.
 */
package io.caperturn.entry.link;
