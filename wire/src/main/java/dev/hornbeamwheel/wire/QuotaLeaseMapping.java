package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.host.organisations.QuotaLease;
import dev.hornbeamwheel.core.host.organisations.QuotaLeaseRequest;
import dev.hornbeamwheel.core.model.OrganisationId;
import dev.hornbeamwheel.proto.host.QuotaLeaseBody;
import dev.hornbeamwheel.proto.host.QuotaLeaseRequestBody;
import dev.hornbeamwheel.proto.host.QuotaUseBody;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Turns leases on shares of quotas and requests for them into parts of frames and back. */
final class QuotaLeaseMapping {
  private QuotaLeaseMapping() {}

  static QuotaLeaseRequestBody toProto(QuotaLeaseRequest request) {
    QuotaLeaseRequestBody.Builder body =
        QuotaLeaseRequestBody.newBuilder()
            .setNumber(request.number())
            .setFleetSize(request.fleetSize());
    Stream.concat(request.demand().keySet().stream(), request.heldParts().keySet().stream())
        .distinct()
        .forEach(
            id ->
                body.addUsesBuilder()
                    .setOrganisation(id.value())
                    .setDemand(request.demand().getOrDefault(id, 0.0))
                    .setHeldPart(request.heldParts().getOrDefault(id, 0.0)));
    return body.build();
  }

  static QuotaLeaseBody toProto(QuotaLease lease) {
    QuotaLeaseBody.Builder body =
        QuotaLeaseBody.newBuilder().setNumber(lease.number()).setFleetSize(lease.fleetSize());
    lease.parts().forEach((id, part) -> body.putParts(id.value(), part));
    return body.build();
  }

  static QuotaLeaseRequest fromProto(QuotaLeaseRequestBody body) {
    return new QuotaLeaseRequest(
        body.getNumber(),
        body.getFleetSize(),
        positive(body, QuotaUseBody::getDemand),
        positive(body, QuotaUseBody::getHeldPart));
  }

  static QuotaLease fromProto(QuotaLeaseBody body) {
    return new QuotaLease(
        body.getNumber(),
        body.getFleetSize(),
        body.getPartsMap().entrySet().stream()
            .collect(
                Collectors.toMap(entry -> OrganisationId.of(entry.getKey()), Map.Entry::getValue)));
  }

  private static Map<OrganisationId, Double> positive(
      QuotaLeaseRequestBody body, ToDoubleFunction<QuotaUseBody> field) {
    return body.getUsesList().stream()
        .filter(use -> field.applyAsDouble(use) > 0)
        .collect(
            Collectors.toMap(
                use -> OrganisationId.of(use.getOrganisation()),
                field::applyAsDouble,
                (first, second) -> second));
  }
}
