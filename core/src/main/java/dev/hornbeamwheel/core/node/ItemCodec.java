package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.membership.Content;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.recovery.Evidence;

/**
 * Turns what members gossip into bytes and back.
 *
 * <p>Equal values have equal bytes. Each method that reads throws {@link IllegalArgumentException}
 * if the bytes are not what it reads.
 */
public interface ItemCodec {
  /** Returns the bytes of a row. */
  Content encodeRow(CellRow row);

  /** Returns the row that the bytes hold. */
  CellRow decodeRow(Content content);

  /** Returns the bytes of a configuration. */
  Content encodeConfiguration(Configuration configuration);

  /** Returns the configuration that the bytes hold. */
  Configuration decodeConfiguration(Content content);

  /** Returns the bytes of evidence, its age left out. */
  Content encodeEvidence(Evidence evidence);

  /** Returns the evidence that the bytes hold, of the given age in milliseconds. */
  Evidence decodeEvidence(Content content, long ageMillis);

  /** Returns the bytes of a load report. */
  Content encodeLoad(LoadReport report);

  /** Returns the load report that the bytes hold. */
  LoadReport decodeLoad(Content content);
}
