package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Optional;

/**
 * The assignment of a range of keys to an owner.
 *
 * @param range the keys
 * @param owner the owner
 * @param previousOwner the previous owner, if it may still hold the keys
 * @param ownerNeverGranted whether the owner has certainly not been granted the keys yet; the
 *     tables of earlier builds do not tell
 */
public record KeyAssignment(
    KeyRange range, KeyOwner owner, Optional<KeyOwner> previousOwner, boolean ownerNeverGranted) {
  /**
   * Creates an assignment whose owner gets no grant before a table without the previous owner has
   * been stored.
   */
  public KeyAssignment(KeyRange range, KeyOwner owner, Optional<KeyOwner> previousOwner) {
    this(range, owner, previousOwner, previousOwner.isPresent());
  }

  /**
   * Returns the upstream that may hold the keys: the previous owner until a table without it is
   * stored, as the owner gets no grant before.
   */
  public UpstreamId possibleHolder() {
    return previousOwner.filter(previous -> ownerNeverGranted).orElse(owner).incarnation().id();
  }

  KeyAssignment withRange(KeyRange part) {
    return new KeyAssignment(part, owner, previousOwner, ownerNeverGranted);
  }

  KeyAssignment withoutPreviousOwner() {
    return new KeyAssignment(range, owner, Optional.empty());
  }

  KeyAssignment withFencingToken(long fencingToken) {
    return new KeyAssignment(
        range, owner.withFencingToken(fencingToken), previousOwner, ownerNeverGranted);
  }
}
