package dev.hornbeamwheel.ctl;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** What a command line asks for. */
sealed interface CtlCommand {
  /** Print the help text. */
  record Help() implements CtlCommand {}

  /** Print the version. */
  record Version() implements CtlCommand {}

  /** Check the declarations of a directory. */
  record Validate(Path directory) implements CtlCommand {}

  /** Show what an apply would change. */
  record Diff(Path directory) implements CtlCommand {}

  /**
   * Put the declarations of a directory in force.
   *
   * @param planned the version that the change was planned against; empty for the one in force now
   */
  record Apply(Path directory, Optional<Long> planned) implements CtlCommand {}

  /** Show who owns, who is leaving and which version is in force where. */
  record Status(boolean json) implements CtlCommand {}

  /** Show who owns a key, and why. */
  record Explain(ServiceId service, Key key) implements CtlCommand {}

  /** Tell from log files what became of a request. */
  record ExplainRequest(String attemptId, List<Path> files) implements CtlCommand {
    /** Copies the list. */
    public ExplainRequest {
      files = List.copyOf(files);
    }
  }

  /**
   * Show where a request would be routed now, and why, without sending it.
   *
   * @param address address of a host's metrics and operator pages
   * @param host value of the Host header
   * @param path request path
   * @param key the shard key, if there is one
   * @param organisation organisation of the caller, if there is one
   */
  record ExplainRoute(
      String address,
      String host,
      String path,
      Optional<Integer> key,
      Optional<String> organisation)
      implements CtlCommand {}

  /** Take an upstream out of service. */
  record DrainUpstream(UpstreamId upstream) implements CtlCommand {}

  /** Take an upstream back into service. */
  record ReturnUpstream(UpstreamId upstream) implements CtlCommand {}

  /** Take a data centre out of service. */
  record DrainDataCentre(DataCentreId dataCentre) implements CtlCommand {}

  /** Take a drained or lost data centre back into service. */
  record ReturnDataCentre(DataCentreId dataCentre) implements CtlCommand {}

  /** Declare that a data centre is lost. */
  record DeclareLost(DataCentreId dataCentre) implements CtlCommand {}

  /** The command line was refused. */
  record Refused(String problem) implements CtlCommand {}
}
