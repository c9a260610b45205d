import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  /** A message: its first line, its headers by their names in lower case, and its body. */
  record Message(String start, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the status of a response. */
    int status() {
      return Integer.parseInt(start.split(" ", 3)[1]);
    }

    /** Returns the target of a request. */
    String target() {
      return start.split(" ", 3)[1];
    }
  }

  private Http() {}

  /** Reads the next message; returns null at the end of the input before its first byte. */
  static Message read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    byte[] body = new byte[0];
    if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      body = chunks(in);
    } else if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException("the body ended early");
      }
    }
    return new Message(start, headers, body);
  }

  private static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new EOFException("the chunks ended early");
      }
      int length = Integer.parseInt(size.split(";")[0].strip(), 16);
      body.write(in.readNBytes(length));
      line(in);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); ; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("the head ended early");
      }
      if (next == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      line.write(next);
    }
  }
}
