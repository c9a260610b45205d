package dev.hornbeamwheel.bench.policy;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/** Reads how much the current thread has allocated. */
final class ThreadAllocation {
  private ThreadAllocation() {}

  /** Returns the bytes that the current thread has allocated so far. */
  static long bytes() {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    return threads.getCurrentThreadAllocatedBytes();
  }
}
