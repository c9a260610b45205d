package dev.hornbeamwheel.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Immutable bytes of an item, which only publisher and consumer interpret. */
public final class Content {
  private static final Content EMPTY = new Content(new byte[0]);

  private final byte[] bytes;

  private Content(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Returns content that holds a copy of {@code bytes}. */
  public static Content copyOf(byte[] bytes) {
    return bytes.length == 0 ? EMPTY : new Content(bytes.clone());
  }

  /** Returns the UTF-8 form of a text. */
  public static Content ofText(String text) {
    return new Content(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the number of bytes. */
  public int size() {
    return bytes.length;
  }

  /** Returns a copy of the bytes. */
  public byte[] toByteArray() {
    return bytes.clone();
  }

  /** Returns the text whose UTF-8 form this is. */
  public String text() {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** Returns the bytes themselves, for readers in this package that do not change them. */
  byte[] array() {
    return bytes;
  }

  /** Wraps bytes that nobody else will change. */
  static Content wrap(byte[] bytes) {
    return new Content(bytes);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Content content && Arrays.equals(bytes, content.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return bytes.length + " bytes";
  }
}
