package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.membership.Item;
import dev.hornbeamwheel.core.membership.ItemKey;
import dev.hornbeamwheel.core.membership.Topic;
import dev.hornbeamwheel.core.recovery.Evidence;

/** The items under which members gossip evidence against requests. */
final class EvidenceItems {
  private EvidenceItems() {}

  /** Returns the item of one observation; the same observation always has the same name. */
  static Item item(Evidence evidence, ItemCodec codec) {
    String name =
        Long.toHexString(evidence.fingerprint())
            + "/"
            + evidence.upstream().id()
            + "/"
            + evidence.kind();
    return new Item(
        ItemKey.of(Topic.QUARANTINE, name),
        1,
        evidence.ageMillis(),
        codec.encodeEvidence(evidence));
  }
}
