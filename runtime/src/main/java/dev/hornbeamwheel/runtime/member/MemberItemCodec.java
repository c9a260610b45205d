package dev.hornbeamwheel.runtime.member;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.membership.Content;
import dev.hornbeamwheel.core.node.ItemCodec;
import dev.hornbeamwheel.core.node.LoadReport;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.recovery.Evidence;
import dev.hornbeamwheel.platform.Bytes;
import dev.hornbeamwheel.platform.store.ConfigurationCodec;
import dev.hornbeamwheel.wire.ItemBytes;

/** The bytes of what members gossip: protobuf, and for the configuration the platform's form. */
public final class MemberItemCodec implements ItemCodec {
  private final ConfigurationCodec configurations = ConfigurationCodec.create();

  private MemberItemCodec() {}

  /** Returns a codec. */
  public static MemberItemCodec create() {
    return new MemberItemCodec();
  }

  @Override
  public Content encodeRow(CellRow row) {
    return ItemBytes.ofRow(row);
  }

  @Override
  public CellRow decodeRow(Content content) {
    return ItemBytes.toRow(content);
  }

  @Override
  public Content encodeConfiguration(Configuration configuration) {
    return Content.copyOf(configurations.encode(configuration).toArray());
  }

  @Override
  public Configuration decodeConfiguration(Content content) {
    return configurations.decode(Bytes.copyOf(content.toByteArray()));
  }

  @Override
  public Content encodeEvidence(Evidence evidence) {
    return ItemBytes.ofEvidence(evidence);
  }

  @Override
  public Evidence decodeEvidence(Content content, long ageMillis) {
    return ItemBytes.toEvidence(content, ageMillis);
  }

  @Override
  public Content encodeLoad(LoadReport report) {
    return ItemBytes.ofLoad(report);
  }

  @Override
  public LoadReport decodeLoad(Content content) {
    return ItemBytes.toLoad(content);
  }
}
