package dev.hornbeamwheel.core.host.fairness;

import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Sorts the requests of an overloaded queue: by priority, then those that can still be answered in
 * time, then by the shares of data centres and, within them, of organisations, then by arrival.
 *
 * <p>Requests are distributed to their shares once and merged by the virtual times of the shares,
 * so that the cost grows with the number of requests and hardly with that of shares.
 */
public final class FairOrder<T> {
  private final ToIntFunction<T> priority;
  private final Function<T, ShareGroup> group;

  private FairOrder(ToIntFunction<T> priority, Function<T, ShareGroup> group) {
    this.priority = priority;
    this.group = group;
  }

  /**
   * Returns an order.
   *
   * @param priority priority of a request; zero is the most urgent
   * @param group the share that a request uses
   */
  public static <T> FairOrder<T> of(ToIntFunction<T> priority, Function<T, ShareGroup> group) {
    return new FairOrder<>(priority, group);
  }

  /** A data centre or an organisation in one round, with what it would have received so far. */
  private static class Share {
    private double virtualMillis;
    private int nextPosition;

    Share(double virtualMillis) {
      this.virtualMillis = virtualMillis;
    }

    /** The share with the lowest virtual time first, at equal times the earlier arrival. */
    static final Comparator<Share> ORDER =
        (one, other) -> {
          int byTime = Double.compare(one.virtualMillis, other.virtualMillis);
          return byTime != 0 ? byTime : Integer.compare(one.nextPosition, other.nextPosition);
        };
  }

  private static final class OrganisationShare<T> extends Share {
    private final Deque<Positioned<T>> requests = new ArrayDeque<>();

    OrganisationShare(double virtualMillis) {
      super(virtualMillis);
    }
  }

  private record Positioned<T>(int position, T request) {}

  /** The requests of a data centre in one class of equal priority and lateness. */
  private static final class DataCentreShare<T> extends Share {
    private final DataCentreId id;
    private final Map<ShareGroup, OrganisationShare<T>> organisations = new HashMap<>();
    private final PriorityQueue<OrganisationShare<T>> next = new PriorityQueue<>(ORDER);

    DataCentreShare(DataCentreId id) {
      super(0);
      this.id = id;
    }

    void queueOrganisations() {
      organisations.values().forEach(this::queue);
    }

    private void queue(OrganisationShare<T> share) {
      if (!share.requests.isEmpty()) {
        ((Share) share).nextPosition = share.requests.peek().position();
        next.add(share);
      }
    }

    boolean hasNext() {
      return !next.isEmpty();
    }

    T takeNext(double workMillis) {
      OrganisationShare<T> share = next.remove();
      T request = share.requests.remove().request();
      ((Share) share).virtualMillis += workMillis;
      queue(share);
      return request;
    }

    void updatePosition() {
      ((Share) this).nextPosition = ((Share) next.element()).nextPosition;
    }
  }

  /**
   * Returns requests in the order in which they are to be served.
   *
   * @param requests requests in the order of their arrival
   * @param late whether a request can no longer be answered in time
   * @param workMillis expected run time of a request, in milliseconds
   */
  public List<T> sort(
      Collection<T> requests, FairShares shares, Predicate<T> late, double workMillis) {
    TreeMap<Long, Map<DataCentreId, DataCentreShare<T>>> classes = new TreeMap<>();
    int position = 0;
    for (T request : requests) {
      long urgency = 2L * priority.applyAsInt(request) + (late.test(request) ? 1 : 0);
      ShareGroup key = group.apply(request);
      classes
          .computeIfAbsent(urgency, id -> new HashMap<>())
          .computeIfAbsent(key.dataCentre(), DataCentreShare::new)
          .organisations
          .computeIfAbsent(key, id -> new OrganisationShare<>(shares.start(id, workMillis)))
          .requests
          .add(new Positioned<>(position++, request));
    }
    List<T> sorted = new ArrayList<>(requests.size());
    Map<DataCentreId, Double> received = new HashMap<>();
    classes.values().forEach(each -> merge(each, shares, received, workMillis, sorted));
    return sorted;
  }

  /** Appends the requests of one class; {@code received} is what earlier classes receive. */
  private static <T> void merge(
      Map<DataCentreId, DataCentreShare<T>> dataCentres,
      FairShares shares,
      Map<DataCentreId, Double> received,
      double workMillis,
      List<T> sorted) {
    PriorityQueue<DataCentreShare<T>> next = new PriorityQueue<>(Share.ORDER);
    dataCentres
        .values()
        .forEach(
            share -> {
              ((Share) share).virtualMillis =
                  shares.start(share.id, workMillis) + received.getOrDefault(share.id, 0.0);
              share.queueOrganisations();
              share.updatePosition();
              next.add(share);
            });
    while (!next.isEmpty()) {
      DataCentreShare<T> share = next.remove();
      sorted.add(share.takeNext(workMillis));
      received.merge(share.id, workMillis, Double::sum);
      ((Share) share).virtualMillis += workMillis;
      if (share.hasNext()) {
        share.updatePosition();
        next.add(share);
      }
    }
  }
}
