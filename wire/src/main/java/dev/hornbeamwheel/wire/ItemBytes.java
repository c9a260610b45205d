package dev.hornbeamwheel.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.membership.Content;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.node.LoadReport;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.recovery.Evidence;
import dev.hornbeamwheel.proto.CellRowState;
import dev.hornbeamwheel.proto.EvidenceState;
import dev.hornbeamwheel.proto.LoadState;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Protobuf form of gossiped items.
 *
 * <p>Each method that reads throws {@link IllegalArgumentException} if the bytes are not what it
 * reads.
 */
public final class ItemBytes {
  private ItemBytes() {}

  /** Returns the bytes of a row. */
  public static Content ofRow(CellRow row) {
    return Content.copyOf(CellRowMapping.toProto(row).toByteArray());
  }

  /** Returns the row that the bytes hold. */
  public static CellRow toRow(Content content) {
    try {
      return CellRowMapping.fromProto(CellRowState.parseFrom(content.toByteArray()));
    } catch (InvalidProtocolBufferException | IndexOutOfBoundsException e) {
      throw new IllegalArgumentException("not a row: " + e.getMessage(), e);
    }
  }

  /** Returns the bytes of evidence, its age left out. */
  public static Content ofEvidence(Evidence evidence) {
    return Content.copyOf(
        EvidenceState.newBuilder()
            .setFingerprint(evidence.fingerprint())
            .setUpstream(evidence.upstream().id().value())
            .setCrashed(evidence.kind() == Evidence.Kind.CRASHED)
            .setLifted(evidence.kind() == Evidence.Kind.LIFTED)
            .setUpstreamStartedUnixMillis(evidence.upstream().startedUnixMillis())
            .build()
            .toByteArray());
  }

  /** Returns the evidence that the bytes hold, of the given age in milliseconds. */
  public static Evidence toEvidence(Content content, long ageMillis) {
    try {
      EvidenceState state = EvidenceState.parseFrom(content.toByteArray());
      return new Evidence(
          state.getFingerprint(),
          new UpstreamIncarnation(
              UpstreamId.of(state.getUpstream()), state.getUpstreamStartedUnixMillis()),
          evidenceKind(state),
          ageMillis);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("not evidence: " + e.getMessage(), e);
    }
  }

  private static Evidence.Kind evidenceKind(EvidenceState state) {
    if (state.getCrashed()) {
      return Evidence.Kind.CRASHED;
    }
    return state.getLifted() ? Evidence.Kind.LIFTED : Evidence.Kind.COMPLETED;
  }

  /** Returns the bytes of a load report. */
  public static Content ofLoad(LoadReport report) {
    LoadState.Builder state =
        LoadState.newBuilder()
            .setReporter(report.reporter().value())
            .setService(report.service().value())
            .setCell(report.cell());
    new TreeMap<>(report.requestsPerSecond())
        .forEach(
            (slice, rate) ->
                state
                    .addSlicesBuilder()
                    .setShard(slice.shard())
                    .setKeyHash(slice.keyHash())
                    .setRequestsPerSecond(rate));
    return Content.copyOf(state.build().toByteArray());
  }

  /** Returns the load report that the bytes hold. */
  public static LoadReport toLoad(Content content) {
    try {
      LoadState state = LoadState.parseFrom(content.toByteArray());
      Map<Slice, Double> load =
          state.getSlicesList().stream()
              .collect(
                  Collectors.toMap(
                      each -> new Slice(each.getShard(), each.getKeyHash()),
                      each -> each.getRequestsPerSecond(),
                      Double::sum));
      return new LoadReport(
          MemberId.of(state.getReporter()),
          ServiceId.of(state.getService()),
          state.getCell(),
          load);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("not a load report: " + e.getMessage(), e);
    }
  }
}
