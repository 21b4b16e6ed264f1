/**
 * Links to sidecars and other entries: conversion of frames to events and back, and relays of submissions to their
 * owners.
 */
package io.caperturn.entry.link;
