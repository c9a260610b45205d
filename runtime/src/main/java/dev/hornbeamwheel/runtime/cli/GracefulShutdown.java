package dev.hornbeamwheel.runtime.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

/** Stops a program gracefully when the process is told to end. */
final class GracefulShutdown {
  private final RunningProgram program;
  private final Runnable logFlush;
  private final AtomicBoolean begun = new AtomicBoolean();
  private final CountDownLatch done = new CountDownLatch(1);

  GracefulShutdown(RunningProgram program, Runnable logFlush) {
    this.program = program;
    this.logFlush = logFlush;
  }

  /** Registers for SIGTERM and SIGINT; the process then exits with the status of success. */
  void register() {
    Thread hook = new Thread(this::stopAndExit, "graceful-shutdown");
    Runtime.getRuntime().addShutdownHook(hook);
  }

  /** Stops the program once; returns when it has stopped. */
  void stop() {
    if (begun.compareAndSet(false, true)) {
      try {
        program.stop();
      } finally {
        done.countDown();
      }
    }
  }

  /** Waits until the program has stopped. */
  void await() throws InterruptedException {
    done.await();
  }

  private void stopAndExit() {
    ExitCode code = ExitCode.FAILURE;
    try {
      stop();
      code = ExitCode.OK;
    } finally {
      logFlush.run();
      // The JVM would otherwise report the signal as its exit status.
      Runtime.getRuntime().halt(code.status());
    }
  }
}
