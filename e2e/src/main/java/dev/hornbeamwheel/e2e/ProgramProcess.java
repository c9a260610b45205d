package dev.hornbeamwheel.e2e;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One program of the system, run as a process of its own. */
final class ProgramProcess {
  /** Longest time that a graceful shutdown may take, in seconds. */
  private static final long STOP_SECONDS = 30;

  private final String name;
  private final Process process;

  private ProgramProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /**
   * Starts a program with the class path of this process.
   *
   * @param mainClass its main class
   * @param log file that takes its output
   */
  static ProgramProcess start(String name, String mainClass, Path log, String... arguments)
      throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(JvmFlags.of(mainClass));
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
    command.addAll(List.of(arguments));
    Process process =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start();
    return new ProgramProcess(name, process);
  }

  String name() {
    return name;
  }

  /** Waits for the end and returns the exit status. */
  int await() throws InterruptedException {
    return process.waitFor();
  }

  /** Ends the process at once, as a lost host would. */
  void kill() {
    process.destroyForcibly();
  }

  /** Stops the process where it stands, as a paused host would. */
  void freeze() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** Lets a frozen process go on. */
  void thaw() throws IOException, InterruptedException {
    signal("CONT");
  }

  /** Asks for a graceful shutdown. */
  void terminate() {
    process.destroy();
  }

  /** Waits for a shutdown that was asked for, and ends the process if it takes too long. */
  void awaitStop() throws InterruptedException {
    if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
      kill();
    }
  }

  private void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }
}
