package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.membership.Content;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.recovery.Evidence;
import java.util.ArrayList;
import java.util.List;

/** Stands in for bytes by the index of each distinct value. */
final class InterningCodec implements ItemCodec {
  private final List<Object> values = new ArrayList<>();

  @Override
  public Content encodeRow(CellRow row) {
    return encode(row);
  }

  @Override
  public CellRow decodeRow(Content content) {
    return (CellRow) decode(content);
  }

  @Override
  public Content encodeConfiguration(Configuration configuration) {
    return encode(configuration);
  }

  @Override
  public Configuration decodeConfiguration(Content content) {
    return (Configuration) decode(content);
  }

  @Override
  public Content encodeEvidence(Evidence evidence) {
    return encode(new Evidence(evidence.fingerprint(), evidence.upstream(), evidence.kind(), 0));
  }

  @Override
  public Evidence decodeEvidence(Content content, long ageMillis) {
    Evidence evidence = (Evidence) decode(content);
    return new Evidence(evidence.fingerprint(), evidence.upstream(), evidence.kind(), ageMillis);
  }

  @Override
  public Content encodeLoad(LoadReport report) {
    return encode(report);
  }

  @Override
  public LoadReport decodeLoad(Content content) {
    return (LoadReport) decode(content);
  }

  private Content encode(Object value) {
    if (!values.contains(value)) {
      values.add(value);
    }
    return Content.ofText(Integer.toString(values.indexOf(value)));
  }

  private Object decode(Content content) {
    return values.get(Integer.parseInt(content.text()));
  }
}
