package dev.hornbeamwheel.core.host.keys;

/** How the requests for a key relate to what its owner can serve. */
public enum KeyLoad {
  /** The owner can serve them. */
  NORMAL,
  /** They are more than the owner can serve, and the owner has other keys. */
  HOT,
  /** They are more than the owner can serve, and the owner has no other key. */
  HOT_ALONE
}
