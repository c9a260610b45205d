package dev.hornbeamwheel.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.RegionId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class DeclarationsCheckTest {
  private static final String HASH = "0".repeat(64);

  @Test
  void soundDeclarationsHaveNoProblems() {
    assertThat(problems(service(64, 4), upstream("quimper", "127.0.0.1:9000"), contract(HASH, 1)))
        .isEmpty();
  }

  @Test
  void shardsMustBeAPowerOfTwo() {
    assertThat(problems(service(48, 4), upstream("quimper", "127.0.0.1:9000"), contract(HASH, 1)))
        .containsExactly(
            "services[0].shards: 48 is out of range; use a power of two from 1 to 1048576");
  }

  @Test
  void cellsMustNotOutnumberShards() {
    assertThat(problems(service(4, 8), upstream("quimper", "127.0.0.1:9000"), contract(HASH, 1)))
        .singleElement()
        .asString()
        .startsWith("services[0].cells: 8");
  }

  @Test
  void unknownDataCentreAndBadAddressAreNamed() {
    assertThat(problems(service(64, 4), upstream("brest", "ledger:9000"), contract(HASH, 1)))
        .anyMatch(message -> message.startsWith("upstreams[0].dataCentre: no data centre brest"))
        .anyMatch(message -> message.startsWith("upstreams[0].address: \"ledger:9000\""));
  }

  @Test
  void contractNumbersAndTokenAreChecked() {
    assertThat(problems(service(64, 4), upstream("quimper", "127.0.0.1:9000"), contract("X", 0)))
        .anyMatch(message -> message.startsWith("contracts[0].tokenSha256"))
        .anyMatch(message -> message.startsWith("contracts[0].burst: 0"));
  }

  @Test
  void duplicateIdNamesBothPlaces() {
    Service service = service(64, 4);
    Declarations twice =
        new Declarations(
            List.of(),
            List.of(service, service),
            List.of(),
            List.of(),
            Set.of(),
            Set.of(),
            Set.of());
    assertThat(DeclarationsCheck.check(twice))
        .extracting(DeclarationProblem::message)
        .singleElement()
        .asString()
        .contains("services[1].id", "services[0].id");
  }

  private static List<String> problems(Service service, Upstream upstream, Contract contract) {
    DataCentre quimper = new DataCentre(DataCentreId.of("quimper"), RegionId.of("armor"));
    Declarations declarations =
        new Declarations(
            List.of(quimper),
            List.of(service),
            List.of(upstream),
            List.of(contract),
            Set.of(),
            Set.of(),
            Set.of());
    return DeclarationsCheck.check(declarations).stream().map(DeclarationProblem::message).toList();
  }

  private static Service service(int shards, int cells) {
    return new Service(
        ServiceId.of("stock-ledger"),
        ServiceKind.KEYED,
        shards,
        cells,
        Fencing.CHECKED,
        Isolation.KEEP_SERVING,
        new ColdStart(5, 50, 10_000),
        2000);
  }

  private static Upstream upstream(String dataCentre, String address) {
    return new Upstream(
        UpstreamId.of("ledger-1"),
        ServiceId.of("stock-ledger"),
        DataCentreId.of(dataCentre),
        address,
        2,
        300);
  }

  private static Contract contract(String hash, long burst) {
    return new Contract(
        ContractId.of("mill-7"), hash, 100, burst, 10, Set.of(ServiceId.of("stock-ledger")));
  }
}
