package dev.hornbeamwheel.core.host.keys;

import java.util.Optional;

/**
 * Who owns a range of keys.
 *
 * @param range the keys
 * @param owner their owner
 * @param previousOwner the owner before, if it may still hold them
 */
public record KeyAssignment(KeyRange range, KeyOwner owner, Optional<KeyOwner> previousOwner) {
  KeyAssignment withRange(KeyRange part) {
    return new KeyAssignment(part, owner, previousOwner);
  }

  KeyAssignment withPreviousOwner(KeyOwner before) {
    return new KeyAssignment(range, owner, Optional.of(before));
  }

  KeyAssignment withoutPreviousOwner() {
    return new KeyAssignment(range, owner, Optional.empty());
  }
}
