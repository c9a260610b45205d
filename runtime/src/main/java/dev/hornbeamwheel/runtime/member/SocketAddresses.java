package dev.hornbeamwheel.runtime.member;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads addresses that are an IP number and a port. */
public final class SocketAddresses {
  private static final Pattern IP_AND_PORT =
      Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:]+\\]):([0-9]{1,5})");

  private SocketAddresses() {}

  /**
   * Returns the address with the given text form.
   *
   * @param text for instance {@code 127.0.0.1:7000}
   * @throws IllegalArgumentException if it is no IP number with a port
   */
  public static InetSocketAddress parse(String text) {
    Matcher matcher = IP_AND_PORT.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not an IP number with a port: " + text);
    }
    try {
      InetAddress ip = InetAddress.getByName(matcher.group(1));
      return new InetSocketAddress(ip, Integer.parseInt(matcher.group(2)));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not an IP number with a port: " + text, e);
    }
  }

  /** Returns the text form of an address. */
  public static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
