package dev.hornbeamwheel.core.host.organisations;

import dev.hornbeamwheel.core.model.OrganisationId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The organisations of a configuration, by key and by name; immutable. */
public final class Organisations {
  private static final Organisations NONE = new Organisations(false, List.of(), List.of());
  private static final CallerIdentity UNCHECKED = new CallerIdentity.Unchecked();
  private static final CallerIdentity ANONYMOUS = new CallerIdentity.Anonymous();

  private final boolean declared;
  private final Map<ApiKey, Organisation> byKey = new HashMap<>();
  private final Map<OrganisationId, Organisation> byId = new HashMap<>();
  private final Set<OrganisationId> limited;
  private final List<String> problems;

  private Organisations(boolean declared, List<Organisation> organisations, List<String> problems) {
    this.declared = declared;
    this.problems = List.copyOf(problems);
    Set<ApiKey> ambiguous = new HashSet<>();
    Set<OrganisationId> withQuota = new HashSet<>();
    for (Organisation organisation : organisations) {
      // Two declarations of one name are one organisation, with the first one's quota.
      Organisation first = byId.computeIfAbsent(organisation.id(), id -> organisation);
      if (first.quota().limited()) {
        withQuota.add(first.id());
      }
      for (ApiKey key : organisation.apiKeys()) {
        Organisation other = byKey.putIfAbsent(key, first);
        if (other != null && !other.id().equals(first.id())) {
          ambiguous.add(key);
        }
      }
    }
    byKey.keySet().removeAll(ambiguous);
    limited = Set.copyOf(withQuota);
  }

  /** Returns the organisations of a configuration that declares none: no key is checked. */
  public static Organisations none() {
    return NONE;
  }

  /**
   * Returns declared organisations. A key that two of them declare identifies neither.
   *
   * @param problems descriptions of the declarations that were left out, for the log
   */
  public static Organisations of(List<Organisation> organisations, List<String> problems) {
    return new Organisations(true, organisations, problems);
  }

  /** Returns the descriptions of the declarations that were left out. */
  public List<String> problems() {
    return problems;
  }

  /**
   * Returns who sent a request, or empty if it must be rejected: its key is missing or unknown, and
   * its route is not public.
   */
  public Optional<CallerIdentity> identify(Optional<ApiKey> key, boolean publicRoute) {
    if (!declared) {
      return Optional.of(UNCHECKED);
    }
    Optional<CallerIdentity> member = key.map(byKey::get).map(CallerIdentity.Member::new);
    return member.isEmpty() && publicRoute ? Optional.of(ANONYMOUS) : member;
  }

  /** Returns the quota of an organisation; unlimited if it is not declared. */
  public Quota quota(OrganisationId id) {
    Organisation organisation = byId.get(id);
    return organisation == null ? Quota.unlimited() : organisation.quota();
  }

  /** Returns the organisations with a quota. */
  public Set<OrganisationId> limited() {
    return limited;
  }
}
