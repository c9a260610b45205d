/** Messages between members over TCP: transport, frames and their protobuf form. */
package dev.hornbeamwheel.wire;
