/** Bounds the bytes that a host buffers for callers, by pausing reads and refusing requests. */
package dev.hornbeamwheel.core.host.buffers;
