package dev.hornbeamwheel.core.host.catalog;

/**
 * An IP address and a TCP port.
 *
 * @param host IP address as text
 * @param port TCP port, 1 to 65535
 */
public record Address(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * Parses an address of the form {@code HOST:PORT}.
   *
   * @throws IllegalArgumentException if the text has another form or the port is out of range
   */
  public static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("expected HOST:PORT, not '" + text + "'");
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("expected a port from 1 to 65535 in '" + text + "'");
    }
    return new Address(text.substring(0, colon), port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
