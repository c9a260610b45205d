package review;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, one event a line with its time. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final BufferedWriter out;
  private boolean closed;

  private Record(BufferedWriter out) {
    this.out = out;
  }

  static Record at(Path file) throws IOException {
    return new Record(Files.newBufferedWriter(file));
  }

  /** Returns the seconds since the start of the record. */
  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    if (closed) {
      return;
    }
    try {
      out.write(String.format(Locale.ROOT, "%8.3f  ", seconds()));
      out.write(String.format(Locale.ROOT, format, values));
      out.newLine();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Writes a line to the file and to standard output. */
  void result(String format, Object... values) {
    line(format, values);
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    out.close();
  }
}
