package dev.hornbeamwheel.router;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.router.http.ContractDirectory;
import java.util.concurrent.atomic.AtomicReference;

/** Holds the contracts and services in force, for the threads that read callers' requests. */
record ContractsInForce(AtomicReference<ContractDirectory> reference) {
  /** The directory before any configuration is in force. */
  static final ContractDirectory EMPTY = ContractDirectory.of(Configuration.initial());
}
