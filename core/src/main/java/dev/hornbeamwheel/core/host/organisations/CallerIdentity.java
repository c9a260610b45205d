package dev.hornbeamwheel.core.host.organisations;

import dev.hornbeamwheel.core.model.OrganisationId;
import java.util.Optional;

/** The sender of a request, as identified by its API key. */
public sealed interface CallerIdentity {
  /** Returns the organisation of the caller, or empty if it is not known. */
  default Optional<OrganisationId> organisation() {
    return Optional.empty();
  }

  /** The configuration has no organisations; headers are forwarded as they are. */
  record Unchecked() implements CallerIdentity {}

  /** The caller of a public route has no valid key. */
  record Anonymous() implements CallerIdentity {}

  /**
   * The caller has the key of an organisation.
   *
   * @param declaration the organisation as declared when the request arrived
   */
  record Member(Organisation declaration) implements CallerIdentity {
    @Override
    public Optional<OrganisationId> organisation() {
      return Optional.of(declaration.id());
    }
  }
}
