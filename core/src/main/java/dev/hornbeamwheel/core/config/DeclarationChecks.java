package dev.hornbeamwheel.core.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** The single checks that {@link DeclarationsCheck} is made of. */
final class DeclarationChecks {
  private static final int MAX_SHARDS = 1 << 20;
  private static final int MAX_PORT = 65_535;
  private static final long MAX_DEADLINE_MILLIS = 3_600_000;
  private static final Pattern TOKEN_HASH = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern ADDRESS =
      Pattern.compile("(?<ip>\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):(?<port>\\d{1,5})");

  private final Declarations declarations;
  private final Set<String> dataCentres = new HashSet<>();
  private final Set<String> services = new HashSet<>();
  private final Set<String> upstreams = new HashSet<>();

  private DeclarationChecks(Declarations declarations) {
    this.declarations = declarations;
    declarations.dataCentres().forEach(dataCentre -> dataCentres.add(dataCentre.id().value()));
    declarations.services().forEach(service -> services.add(service.id().value()));
    declarations.upstreams().forEach(upstream -> upstreams.add(upstream.id().value()));
  }

  static List<DeclarationProblem> all(Declarations declarations) {
    DeclarationChecks checks = new DeclarationChecks(declarations);
    return Stream.of(
            checks.duplicates(),
            checks.services(),
            checks.upstreams(),
            checks.contracts(),
            checks.removals())
        .flatMap(problems -> problems)
        .toList();
  }

  private Stream<DeclarationProblem> duplicates() {
    return Stream.of(
            duplicates("dataCentres", declarations.dataCentres().stream().map(d -> d.id().value())),
            duplicates("services", declarations.services().stream().map(s -> s.id().value())),
            duplicates("upstreams", declarations.upstreams().stream().map(u -> u.id().value())),
            duplicates("contracts", declarations.contracts().stream().map(c -> c.id().value())),
            duplicateTokens())
        .flatMap(problems -> problems);
  }

  private static Stream<DeclarationProblem> duplicates(String list, Stream<String> ids) {
    Map<String, Integer> first = new HashMap<>();
    List<String> all = ids.toList();
    return IntStream.range(0, all.size())
        .filter(index -> first.putIfAbsent(all.get(index), index) != null)
        .mapToObj(
            index ->
                new DeclarationProblem.DuplicateId(
                    list + "[" + index + "].id",
                    all.get(index),
                    list + "[" + first.get(all.get(index)) + "].id"));
  }

  private Stream<DeclarationProblem> duplicateTokens() {
    Map<String, Integer> first = new HashMap<>();
    List<Contract> contracts = declarations.contracts();
    return IntStream.range(0, contracts.size())
        .filter(index -> first.putIfAbsent(contracts.get(index).tokenSha256(), index) != null)
        .mapToObj(
            index ->
                new DeclarationProblem.Contradiction(
                    "contracts[" + index + "].tokenSha256",
                    "contracts["
                        + first.get(contracts.get(index).tokenSha256())
                        + "] has the same token",
                    "give each contract a token of its own"));
  }

  private Stream<DeclarationProblem> services() {
    List<Service> list = declarations.services();
    return IntStream.range(0, list.size())
        .boxed()
        .flatMap(index -> service("services[" + index + "]", list.get(index)));
  }

  private static Stream<DeclarationProblem> service(String path, Service service) {
    int shards = service.shards();
    boolean powerOfTwo = Integer.bitCount(shards) == 1 && shards > 0 && shards <= MAX_SHARDS;
    ColdStart cold = service.coldStart();
    return Stream.of(
            range(powerOfTwo, path + ".shards", shards, "a power of two from 1 to " + MAX_SHARDS),
            range(
                service.keyed() || shards == 1, path + ".shards", shards, "1 for a pooled service"),
            range(
                service.cells() >= 1 && service.cells() <= Math.max(1, shards),
                path + ".cells",
                service.cells(),
                "a number from 1 to the number of shards"),
            range(
                service.defaultDeadlineMillis() >= 1
                    && service.defaultDeadlineMillis() <= MAX_DEADLINE_MILLIS,
                path + ".defaultDeadlineMillis",
                service.defaultDeadlineMillis(),
                "milliseconds from 1 to " + MAX_DEADLINE_MILLIS),
            range(
                cold.initialRatePerSecond() > 0,
                path + ".coldStart.initialRatePerSecond",
                cold.initialRatePerSecond(),
                "a rate above 0"),
            range(
                cold.fullRatePerSecond() >= cold.initialRatePerSecond(),
                path + ".coldStart.fullRatePerSecond",
                cold.fullRatePerSecond(),
                "a rate of at least initialRatePerSecond"),
            range(
                cold.warmUpMillis() >= 0,
                path + ".coldStart.warmUpMillis",
                cold.warmUpMillis(),
                "milliseconds from 0"))
        .flatMap(problems -> problems);
  }

  private Stream<DeclarationProblem> upstreams() {
    List<Upstream> list = declarations.upstreams();
    return Stream.concat(
        IntStream.range(0, list.size())
            .boxed()
            .flatMap(index -> upstream("upstreams[" + index + "]", list.get(index))),
        sharedAddresses());
  }

  private Stream<DeclarationProblem> upstream(String path, Upstream upstream) {
    return Stream.of(
            reference(services, path + ".service", "service", upstream.service().value()),
            reference(
                dataCentres, path + ".dataCentre", "data centre", upstream.dataCentre().value()),
            malformed(
                validAddress(upstream.address()),
                path + ".address",
                upstream.address(),
                "an IP number and a port, for instance 127.0.0.1:9000"),
            range(upstream.slots() >= 1, path + ".slots", upstream.slots(), "a number from 1"),
            range(
                upstream.connections() >= upstream.slots(),
                path + ".connections",
                upstream.connections(),
                "a number of at least slots"))
        .flatMap(problems -> problems);
  }

  private Stream<DeclarationProblem> sharedAddresses() {
    Map<String, Integer> first = new HashMap<>();
    List<Upstream> list = declarations.upstreams();
    return IntStream.range(0, list.size())
        .filter(index -> first.putIfAbsent(list.get(index).address(), index) != null)
        .mapToObj(
            index ->
                new DeclarationProblem.Contradiction(
                    "upstreams[" + index + "].address",
                    "upstreams[" + first.get(list.get(index).address()) + "] has the same address",
                    "give each upstream an address of its own"));
  }

  private Stream<DeclarationProblem> contracts() {
    List<Contract> list = declarations.contracts();
    return IntStream.range(0, list.size())
        .boxed()
        .flatMap(index -> contract("contracts[" + index + "]", list.get(index)));
  }

  private Stream<DeclarationProblem> contract(String path, Contract contract) {
    Stream<DeclarationProblem> own =
        Stream.of(
                malformed(
                    TOKEN_HASH.matcher(contract.tokenSha256()).matches(),
                    path + ".tokenSha256",
                    contract.tokenSha256(),
                    "the SHA-256 of the token as 64 lower-case hexadecimal digits"),
                range(
                    contract.ratePerSecond() >= 1,
                    path + ".ratePerSecond",
                    contract.ratePerSecond(),
                    "a number from 1"),
                range(contract.burst() >= 1, path + ".burst", contract.burst(), "a number from 1"),
                range(
                    contract.concurrency() >= 1,
                    path + ".concurrency",
                    contract.concurrency(),
                    "a number from 1"))
            .flatMap(problems -> problems);
    Stream<DeclarationProblem> references =
        contract.services().stream()
            .sorted()
            .flatMap(id -> reference(services, path + ".services", "service", id.value()));
    return Stream.concat(own, references);
  }

  private Stream<DeclarationProblem> removals() {
    return Stream.of(
            declarations.drainedUpstreams().stream()
                .sorted()
                .flatMap(id -> reference(upstreams, "drainedUpstreams", "upstream", id.value())),
            declarations.drainedDataCentres().stream()
                .sorted()
                .flatMap(
                    id -> reference(dataCentres, "drainedDataCentres", "data centre", id.value())),
            declarations.lostDataCentres().stream()
                .sorted()
                .flatMap(
                    id -> reference(dataCentres, "lostDataCentres", "data centre", id.value())))
        .flatMap(problems -> problems);
  }

  private static boolean validAddress(String address) {
    var matcher = ADDRESS.matcher(address);
    if (!matcher.matches()) {
      return false;
    }
    int port = Integer.parseInt(matcher.group("port"));
    String ip = matcher.group("ip");
    return port >= 1
        && port <= MAX_PORT
        && (ip.startsWith("[")
            || Pattern.compile("\\.").splitAsStream(ip).mapToInt(Integer::parseInt).max().orElse(0)
                <= 255);
  }

  private static Stream<DeclarationProblem> range(
      boolean valid, String path, Number value, String range) {
    return valid
        ? Stream.empty()
        : Stream.of(new DeclarationProblem.OutOfRange(path, value.toString(), range));
  }

  private static Stream<DeclarationProblem> malformed(
      boolean valid, String path, String value, String form) {
    return valid ? Stream.empty() : Stream.of(new DeclarationProblem.Malformed(path, value, form));
  }

  private static Stream<DeclarationProblem> reference(
      Set<String> declared, String path, String kind, String id) {
    return declared.contains(id)
        ? Stream.empty()
        : Stream.of(new DeclarationProblem.UnknownReference(path, kind, id));
  }
}
