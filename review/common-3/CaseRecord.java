import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case. */
final class CaseRecord implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  CaseRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the time since the start, in milliseconds. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String text) {
    out.printf(Locale.ROOT, "%7.3f s  %s%n", millis() / 1e3, text);
  }

  /** Writes a line to the record and to the standard output. */
  void result(String text) {
    line(text);
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
