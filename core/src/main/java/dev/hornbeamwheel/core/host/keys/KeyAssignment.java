package dev.hornbeamwheel.core.host.keys;

import java.util.Optional;

/**
 * The assignment of a range of keys to an owner.
 *
 * @param range the keys
 * @param owner the owner
 * @param previousOwner the previous owner, if it may still hold the keys
 */
public record KeyAssignment(KeyRange range, KeyOwner owner, Optional<KeyOwner> previousOwner) {
  KeyAssignment withRange(KeyRange part) {
    return new KeyAssignment(part, owner, previousOwner);
  }

  KeyAssignment withoutPreviousOwner() {
    return new KeyAssignment(range, owner, Optional.empty());
  }
}
