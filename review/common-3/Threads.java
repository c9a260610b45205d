/** Starts daemon threads, so that a case ends when its main thread does. */
final class Threads {
  /** A step that may fail or be interrupted. */
  interface Step {
    void run() throws Exception;
  }

  private Threads() {}

  static Thread start(String name, Step step) {
    Thread thread =
        new Thread(
            () -> {
              try {
                step.run();
              } catch (Exception e) {
                System.err.println(name + ": " + e);
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
