package dev.hornbeamwheel.ctl;

import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.config.DataCentre;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.Upstream;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Stream;

/** What differs between two declarations, one line each. */
final class DeclarationsDiff {
  private DeclarationsDiff() {}

  static List<String> lines(Declarations before, Declarations after) {
    return Stream.of(
            changes("data centre", before.dataCentres(), after.dataCentres(), DataCentre::id),
            changes("service", before.services(), after.services(), Service::id),
            changes("upstream", before.upstreams(), after.upstreams(), Upstream::id),
            changes("contract", before.contracts(), after.contracts(), Contract::id),
            marks("drained upstream", before.drainedUpstreams(), after.drainedUpstreams()),
            marks("drained data centre", before.drainedDataCentres(), after.drainedDataCentres()),
            marks("lost data centre", before.lostDataCentres(), after.lostDataCentres()))
        .flatMap(lines -> lines)
        .toList();
  }

  private static <T, K extends Comparable<K>> Stream<String> changes(
      String kind, List<T> before, List<T> after, Function<T, K> id) {
    Map<K, T> old = byId(before, id);
    Map<K, T> now = byId(after, id);
    Set<K> all = new TreeSet<>(old.keySet());
    all.addAll(now.keySet());
    return all.stream().flatMap(key -> change(kind, key, old.get(key), now.get(key)));
  }

  private static <T> Stream<String> change(String kind, Object id, T before, T after) {
    if (before == null) {
      return Stream.of("+ " + kind + " " + id);
    }
    if (after == null) {
      return Stream.of("- " + kind + " " + id);
    }
    return before.equals(after)
        ? Stream.empty()
        : Stream.of("~ " + kind + " " + id + ": " + before + " -> " + after);
  }

  private static <K extends Comparable<K>> Stream<String> marks(
      String kind, Set<K> before, Set<K> after) {
    Set<K> all = new TreeSet<>(before);
    all.addAll(after);
    return all.stream()
        .filter(key -> before.contains(key) != after.contains(key))
        .map(key -> (after.contains(key) ? "+ " : "- ") + kind + " " + key);
  }

  private static <T, K extends Comparable<K>> Map<K, T> byId(List<T> elements, Function<T, K> id) {
    Map<K, T> byId = new TreeMap<>();
    elements.forEach(element -> byId.put(id.apply(element), element));
    return byId;
  }
}
