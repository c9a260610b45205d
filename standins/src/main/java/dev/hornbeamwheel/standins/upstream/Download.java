package dev.hornbeamwheel.standins.upstream;

import java.io.IOException;
import java.io.OutputStream;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A file whose bytes follow from its name, so that every upstream serves the same one.
 *
 * @param name the name
 * @param length length of the whole file, in bytes
 * @param from first byte to send
 * @param partial whether a range was asked for
 */
record Download(String name, long length, long from, boolean partial) {
  private static final int CHUNK_BYTES = 16_384;
  private static final int PERIOD = 251;
  private static final Pattern PATH = Pattern.compile(".*/downloads/([^/]+?)(?:\\.([0-9]{1,10}))?");
  private static final Pattern RANGE = Pattern.compile("bytes=([0-9]{1,12})-");

  /** Returns whether a path names a download. */
  static boolean isDownload(String path) {
    return PATH.matcher(path).matches();
  }

  /**
   * Returns the download that a request asks for.
   *
   * <p>The path ends in {@code /downloads/NAME} or {@code /downloads/NAME.LENGTH}. Of ranges only
   * {@code bytes=N-} is understood; another one, or one with another validator, gives the whole
   * file.
   *
   * @param range the header {@code Range}; empty if absent
   * @param ifRange the header {@code If-Range}; empty if absent
   * @param defaultLength length of a file whose path names none
   */
  static Download of(String path, String range, String ifRange, long defaultLength) {
    Matcher matcher = PATH.matcher(path);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not a download: " + path);
    }
    long length = matcher.group(2) == null ? defaultLength : Long.parseLong(matcher.group(2));
    Download whole = new Download(matcher.group(1), length, 0, false);
    Matcher asked = RANGE.matcher(range);
    boolean valid = ifRange.isEmpty() || ifRange.equals(whole.etag());
    return asked.matches() && valid
        ? new Download(whole.name, length, Long.parseLong(asked.group(1)), true)
        : whole;
  }

  /** Returns the strong validator. */
  String etag() {
    return "\"" + name + "-" + length + "\"";
  }

  /** Returns whether the range starts within the file. */
  boolean satisfiable() {
    return from < length || from == 0;
  }

  /** Returns the number of bytes to send. */
  long remaining() {
    return length - from;
  }

  /** Returns the value of the header {@code Content-Range}. */
  String contentRange() {
    return "bytes " + from + "-" + (length - 1) + "/" + length;
  }

  /** Writes the first {@code count} of the remaining bytes. */
  void write(OutputStream out, long count) throws IOException {
    byte[] chunk = new byte[CHUNK_BYTES];
    long end = from + count;
    for (long at = from; at < end; at += CHUNK_BYTES) {
      int size = (int) Math.min(CHUNK_BYTES, end - at);
      for (int i = 0; i < size; i++) {
        chunk[i] = byteAt(at + i);
      }
      out.write(chunk, 0, size);
    }
  }

  private byte byteAt(long offset) {
    return (byte) ((offset + name.length()) % PERIOD);
  }
}
