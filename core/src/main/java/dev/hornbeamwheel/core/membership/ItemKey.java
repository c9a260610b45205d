package dev.hornbeamwheel.core.membership;

/**
 * Identifies an item.
 *
 * @param topic its kind
 * @param name its name within the topic
 */
public record ItemKey(Topic topic, String name) {
  /** Returns the key of an item. */
  public static ItemKey of(Topic topic, String name) {
    return new ItemKey(topic, name);
  }
}
