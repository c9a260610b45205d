package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** An HTTP/1.1 message as it is read from a connection. */
record Http(String startLine, Map<String, String> headers, byte[] body) {
  /** Reads a message; null at the end of the connection. */
  static Http read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
    byte[] body;
    if (headers.getOrDefault("Transfer-Encoding", "").contains("chunked")) {
      body = chunks(in);
    } else {
      int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException("message cut after " + body.length + " of " + length + " bytes");
      }
    }
    return new Http(start, headers, body);
  }

  /** Returns the status of a response. */
  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  /** Returns the path of a request. */
  String path() {
    return startLine.split(" ")[1];
  }

  String header(String name) {
    return headers.getOrDefault(name, "");
  }

  private static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
      body.write(in.readNBytes(size));
      line(in);
      if (size == 0) {
        return body.toByteArray();
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }
}
