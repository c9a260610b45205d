package dev.hornbeamwheel.wire;

/** Thrown when bytes are not a message that this version understands. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1;

  /** Makes an exception that tells what was found. */
  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
