package dev.hornbeamwheel.wire;

import java.util.ArrayDeque;

/** Frames that wait for a connection; the oldest make room for the newest. */
final class SendQueue {
  static final int MAX_FRAMES = 256;
  static final int MAX_BYTES = 1 << 20;

  private final ArrayDeque<OutboundFrame> frames = new ArrayDeque<>();
  private int bytes;

  /** Adds a frame and returns how many older ones were dropped for it. */
  int add(OutboundFrame frame) {
    frames.add(frame);
    bytes += frame.size();
    int dropped = 0;
    while (frames.size() > 1 && (frames.size() > MAX_FRAMES || bytes > MAX_BYTES)) {
      bytes -= frames.remove().size();
      dropped++;
    }
    return dropped;
  }

  /** Removes and returns the oldest frame; null if none waits. */
  OutboundFrame poll() {
    OutboundFrame frame = frames.poll();
    if (frame != null) {
      bytes -= frame.size();
    }
    return frame;
  }

  int size() {
    return frames.size();
  }

  /** Drops all frames and returns how many there were. */
  int clear() {
    int dropped = frames.size();
    frames.clear();
    bytes = 0;
    return dropped;
  }
}
