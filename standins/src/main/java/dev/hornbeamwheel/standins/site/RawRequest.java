package dev.hornbeamwheel.standins.site;

import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;

/** A request as a stand-in without an HTTP library reads it; its body is skipped. */
record RawRequest(String head) {
  private static final int MAX_HEAD_BYTES = 65_536;

  /** Reads a request; null at the end of the connection. */
  static RawRequest read(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0 && head.length() < MAX_HEAD_BYTES) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      head.append((char) next);
    }
    RawRequest request = new RawRequest(head.toString());
    in.skipNBytes(Long.parseLong("0" + request.header("content-length")));
    return request;
  }

  /** Returns a header by its name in lower case; empty if there is none. */
  String header(String name) {
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
        .map(line -> line.substring(name.length() + 1).trim())
        .findFirst()
        .orElse("");
  }
}
