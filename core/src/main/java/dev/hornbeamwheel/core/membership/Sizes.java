package dev.hornbeamwheel.core.membership;

/** Estimates of encoded sizes, to keep messages bounded. */
final class Sizes {
  /** Bytes of the fields beside name and content. */
  private static final int FIELD_BYTES = 24;

  private Sizes() {}

  static int of(ItemChange change) {
    int name = change.key().name().length() + FIELD_BYTES;
    return change instanceof ItemChange.Whole whole
        ? name + whole.item().content().size()
        : name + FIELD_BYTES + ((ItemChange.Patch) change).middle().size();
  }
}
