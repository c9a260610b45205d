package dev.hornbeamwheel.core.host.organisations;

/**
 * A secret by which the callers of an organisation identify themselves.
 *
 * @param value the secret
 */
public record ApiKey(String value) {
  /** Returns the key with the given secret. */
  public static ApiKey of(String value) {
    return new ApiKey(value);
  }

  /** Does not show the secret, so that it gets into no log. */
  @Override
  public String toString() {
    return "ApiKey[hidden]";
  }
}
