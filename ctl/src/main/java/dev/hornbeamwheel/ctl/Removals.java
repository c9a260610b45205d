package dev.hornbeamwheel.ctl;

import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Changes of what operators have taken out of service. */
final class Removals {
  private Removals() {}

  /** Returns declarations with the removals of others, as far as their places still exist. */
  static Declarations keep(Declarations declared, Declarations current) {
    Set<UpstreamId> upstreams =
        declared.upstreams().stream().map(u -> u.id()).collect(Collectors.toSet());
    Set<DataCentreId> dataCentres =
        declared.dataCentres().stream().map(d -> d.id()).collect(Collectors.toSet());
    return with(
        declared,
        intersection(current.drainedUpstreams(), upstreams),
        intersection(current.drainedDataCentres(), dataCentres),
        intersection(current.lostDataCentres(), dataCentres));
  }

  static Declarations drainUpstream(Declarations current, UpstreamId upstream) {
    return with(
        current,
        plus(current.drainedUpstreams(), upstream),
        current.drainedDataCentres(),
        current.lostDataCentres());
  }

  static Declarations returnUpstream(Declarations current, UpstreamId upstream) {
    return with(
        current,
        minus(current.drainedUpstreams(), upstream),
        current.drainedDataCentres(),
        current.lostDataCentres());
  }

  static Declarations drainDataCentre(Declarations current, DataCentreId dataCentre) {
    return with(
        current,
        current.drainedUpstreams(),
        plus(current.drainedDataCentres(), dataCentre),
        current.lostDataCentres());
  }

  static Declarations returnDataCentre(Declarations current, DataCentreId dataCentre) {
    return with(
        current,
        current.drainedUpstreams(),
        minus(current.drainedDataCentres(), dataCentre),
        minus(current.lostDataCentres(), dataCentre));
  }

  static Declarations declareLost(Declarations current, DataCentreId dataCentre) {
    return with(
        current,
        current.drainedUpstreams(),
        current.drainedDataCentres(),
        plus(current.lostDataCentres(), dataCentre));
  }

  private static Declarations with(
      Declarations base,
      Set<UpstreamId> drainedUpstreams,
      Set<DataCentreId> drainedDataCentres,
      Set<DataCentreId> lostDataCentres) {
    return new Declarations(
        base.dataCentres(),
        base.services(),
        base.upstreams(),
        base.contracts(),
        drainedUpstreams,
        drainedDataCentres,
        lostDataCentres);
  }

  private static <T> Set<T> plus(Set<T> set, T element) {
    return Stream.concat(set.stream(), Stream.of(element)).collect(Collectors.toSet());
  }

  private static <T> Set<T> minus(Set<T> set, T element) {
    return set.stream().filter(other -> !other.equals(element)).collect(Collectors.toSet());
  }

  private static <T> Set<T> intersection(Set<T> set, Set<T> other) {
    return set.stream().filter(other::contains).collect(Collectors.toSet());
  }
}
