package dev.hornbeamwheel.router.http;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.config.Service;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Contracts by the digest of their token and services by name, as one configuration declares them.
 */
public final class ContractDirectory {
  private final Map<String, Contract> byDigest;
  private final Map<String, Service> services;

  private ContractDirectory(Map<String, Contract> byDigest, Map<String, Service> services) {
    this.byDigest = byDigest;
    this.services = services;
  }

  /** Returns the directory of a configuration. */
  public static ContractDirectory of(Configuration configuration) {
    return new ContractDirectory(
        configuration.declarations().contracts().stream()
            .collect(Collectors.toMap(Contract::tokenSha256, Function.identity())),
        configuration.declarations().services().stream()
            .collect(Collectors.toMap(service -> service.id().value(), Function.identity())));
  }

  /** Returns the contract whose token this is, if there is one; the token is kept nowhere. */
  Optional<Contract> contract(String token) {
    return Optional.ofNullable(byDigest.get(DigestUtils.sha256Hex(token)));
  }

  /** Returns the service with a name, if it is declared. */
  Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }
}
