package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Checks the invariants of the protocol: one holder per slice, no lost acknowledged assignment,
 * drained upstreams without slices.
 */
final class InvariantChecker {
  /** Time after which a drained upstream must hold no slices. */
  static final long MAX_DRAIN_MILLIS = 3000;

  /** Maximum time for which a planned move may leave a slice without a holder. */
  static final long MAX_PLANNED_GAP_MILLIS = 200;

  private record Key(CellId cell, Slice slice) {}

  private final FakeCluster cluster;
  private final List<String> violations = new ArrayList<>();
  private final Map<Key, Assignment> lastAcknowledged = new HashMap<>();
  private final Map<Key, Map<Long, UpstreamId>> ownersByEpoch = new HashMap<>();
  private final Map<UpstreamId, Long> drainedSince = new TreeMap<>();
  private final Map<Key, Long> unheldSince = new HashMap<>();
  private final Map<Key, Long> longestUnheld = new HashMap<>();
  private boolean healthy = true;

  InvariantChecker(FakeCluster cluster) {
    this.cluster = cluster;
  }

  List<String> violations() {
    return violations;
  }

  private void addViolation(String text) {
    violations.add(cluster.now() + " ms: " + text);
  }

  /**
   * Checks that no other upstream holds the granted slices and that each epoch has only one owner.
   */
  void onGranted(UpstreamId to, UpstreamOrder.Replace order) {
    for (SliceGrant grant : order.grants()) {
      Key key = new Key(order.cell(), grant.slice());
      UpstreamId first =
          ownersByEpoch
              .computeIfAbsent(key, k -> new HashMap<>())
              .computeIfAbsent(grant.epoch().value(), k -> to);
      if (!first.equals(to)) {
        addViolation("epoch of " + key + " granted to " + first + " and " + to);
      }
      cluster.upstreams().values().stream()
          .filter(other -> !other.id().equals(to) && !cluster.stopped(other.id().value()))
          .filter(other -> holds(other, key))
          .forEach(other -> addViolation(key + " held by " + other.id() + " and " + to));
    }
  }

  /**
   * Returns whether an upstream holds a slice; a shard that was granted before a key of it was
   * isolated still includes the key.
   */
  private boolean holds(FakeUpstream upstream, Key key) {
    long now = cluster.now();
    if (upstream.holds(key.cell(), key.slice(), now)) {
      return true;
    }
    long shardEpoch = upstream.admittedEpoch(key.cell(), Slice.ofShard(key.slice().shard()), now);
    long isolatedAt = Collections.min(ownersByEpoch.get(key).keySet());
    return key.slice().isolated() && shardEpoch > 0 && shardEpoch < isolatedAt;
  }

  /** Checks that a later row has no older epoch, nor another owner at the same epoch. */
  void onAcknowledged(CellRow row) {
    row.assignments().stream()
        .forEach(
            a -> {
              Assignment earlier = lastAcknowledged.get(new Key(row.cell(), a.slice()));
              boolean kept =
                  earlier == null
                      || a.epoch().compareTo(earlier.epoch()) > 0
                      || (a.epoch().equals(earlier.epoch()) && a.owner().equals(earlier.owner()));
              if (!kept) {
                addViolation("acknowledged " + earlier + " became " + a);
              }
              lastAcknowledged.put(new Key(row.cell(), a.slice()), a);
            });
  }

  /** Checks that the table still holds each acknowledged assignment or a later one. */
  void checkTable() {
    lastAcknowledged.forEach(
        (key, a) -> {
          Assignment stored =
              cluster.table().rows().get(key.cell()).assignments().find(key.slice()).orElse(null);
          if (stored == null
              || stored.epoch().compareTo(a.epoch()) < 0
              || (stored.epoch().equals(a.epoch()) && !stored.owner().equals(a.owner()))) {
            addViolation("acknowledged " + a + " but the table holds " + stored);
          }
        });
  }

  /** Sets whether the network and the platform work; drains are checked only while they do. */
  void healthy(boolean on) {
    healthy = on;
    drainedSince.replaceAll((id, since) -> cluster.now());
  }

  void onConfigured() {
    for (Upstream upstream : cluster.declarations().upstreams()) {
      if (cluster.declarations().drained(upstream)) {
        drainedSince.putIfAbsent(upstream.id(), cluster.now());
      } else {
        drainedSince.remove(upstream.id());
      }
    }
  }

  /** Checks drained upstreams and records slices that no upstream holds, at the current time. */
  void observe() {
    drainedSince.forEach(
        (id, since) -> {
          if (healthy
              && cluster.now() - since > MAX_DRAIN_MILLIS
              && !cluster.stopped(id.value())
              && cluster.upstreams().get(id).holdsAny(cluster.now())) {
            addViolation("drained " + id + " still holds slices");
          }
        });
    shards().forEach(this::observe);
  }

  private void observe(Key key) {
    boolean held =
        cluster.upstreams().values().stream()
            .anyMatch(
                u ->
                    cluster.serving(u.id().value())
                        && u.admittedEpoch(key.cell(), key.slice(), cluster.now()) > 0);
    if (held) {
      unheldSince.remove(key);
    } else {
      unheldSince.putIfAbsent(key, cluster.now());
      longestUnheld.merge(key, cluster.now() - unheldSince.get(key), Math::max);
    }
  }

  private List<Key> shards() {
    List<Key> keys = new ArrayList<>();
    for (Service service : cluster.declarations().services()) {
      IntStream.range(0, service.shards())
          .forEach(
              s -> keys.add(new Key(CellId.of(service.id(), service.cellOf(s)), Slice.ofShard(s))));
    }
    return keys;
  }

  /** Checks that each slice is held now, except for the short gap of a planned move. */
  void checkAllHeld() {
    observe();
    unheldSince.forEach(
        (key, since) -> {
          if (cluster.now() - since > MAX_PLANNED_GAP_MILLIS) {
            addViolation(key + " held by nobody since " + since);
          }
        });
  }

  void resetUnheldTimes() {
    longestUnheld.clear();
    unheldSince.clear();
  }

  /** Returns for each slice the longest time without a holder. */
  Map<String, Long> longestUnheld() {
    Map<String, Long> named = new TreeMap<>();
    longestUnheld.forEach(
        (key, millis) -> named.put(key.cell() + "#" + key.slice().shard(), millis));
    return named;
  }
}
