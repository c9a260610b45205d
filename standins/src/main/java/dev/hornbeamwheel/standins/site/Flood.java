package dev.hornbeamwheel.standins.site;

/** Bytes that come without end in the place of an answer. */
public enum Flood {
  /** A whole answer, and nothing after it. */
  NONE(Parts.WHOLE, ""),
  /** A status line that does not end. */
  STATUS_LINE("HTTP/1.1 200 ", "O"),
  /** Empty lines before any status line. */
  EMPTY_LINES("", "\r\n"),
  /** Header lines without end. */
  HEADER_LINES(Parts.SIGNED, "X-More: 1\r\n"),
  /** One header line that does not end. */
  HEADER_VALUE(Parts.SIGNED + "X-Long: ", "v"),
  /** Interim answers, each of them legal. */
  INTERIM_ANSWERS("", "HTTP/1.1 100 Continue\r\n\r\n"),
  /** Short answers to another request. */
  OTHER_ANSWERS("", Parts.OTHER + "Content-Length: 6\r\n\r\nbooked"),
  /** Long answers to another request. */
  LONG_OTHER_ANSWERS("", Parts.OTHER + "Content-Length: 4096\r\n\r\n" + "x".repeat(4_096)),
  /** Chunks of a body that does not end. */
  CHUNKS(Parts.CHUNKED, "1000\r\n" + "x".repeat(4_096) + "\r\n"),
  /** Chunks of one byte. */
  SMALL_CHUNKS(Parts.CHUNKED, "1\r\nx\r\n"),
  /** A chunk extension that does not end. */
  CHUNK_EXTENSION(Parts.CHUNKED + "1;", "e"),
  /** Chunks of one byte with long extensions. */
  CHUNK_EXTENSIONS(Parts.CHUNKED, "1;" + "e".repeat(2_000) + "\r\nx\r\n"),
  /** Header lines behind the last chunk. */
  TRAILERS(Parts.CHUNKED + "0\r\n", "X-More: 1\r\n"),
  /** A body without a length. */
  UNFRAMED_BODY(Parts.SIGNED + "Connection: close\r\n\r\n", "x"),
  /** A body with a length that no caller can take. */
  HUGE_BODY(Parts.SIGNED + "Content-Length: 1099511627776\r\n\r\n", "x"),
  /** A whole answer with more bytes right behind it. */
  AFTER_ANSWER(Parts.WHOLE, "x"),
  /** A whole answer, and a while later bytes of another one that does not end. */
  ON_IDLE_CONNECTION(Parts.WHOLE, "x", "HTTP/1.1 200 OK\r\n\r\n");

  private static final String ATTEMPT = "ATTEMPT";

  private final String start;
  private final String unit;
  private final String late;

  Flood(String start, String unit) {
    this(start, unit, "");
  }

  Flood(String start, String unit, String late) {
    this.start = start;
    this.unit = unit;
    this.late = late;
  }

  /** Returns what comes first, for a request with an attempt id. */
  String start(String attempt) {
    return start.replace(ATTEMPT, attempt);
  }

  /** Returns what comes a while later; empty if nothing waits. */
  String late() {
    return late;
  }

  /** Returns what is repeated; empty if nothing is. */
  String unit() {
    return unit;
  }

  private static final class Parts {
    static final String SIGNED = signed(ATTEMPT);
    static final String OTHER = signed("another-attempt");
    static final String CHUNKED = SIGNED + "Transfer-Encoding: chunked\r\n\r\n";
    static final String WHOLE = SIGNED + "Content-Length: 6\r\n\r\nbooked";

    private static String signed(String attempt) {
      return "HTTP/1.1 200 OK\r\nX-Hornbeamwheel-Request-Attempt-Id: "
          + attempt
          + "\r\nX-Hornbeamwheel-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
    }
  }
}
