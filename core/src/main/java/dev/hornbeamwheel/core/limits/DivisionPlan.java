package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.limits.SharesRow.Division;
import dev.hornbeamwheel.core.limits.SharesRow.Entry;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Next step of one data centre towards the fair division of one contract.
 *
 * @param division the division to write; equal to the one read if there is nothing to write
 * @param ceiling what this data centre may use from now on, even before the division is written
 */
record DivisionPlan(Division division, Share ceiling) {
  /** What is wanted is written in eighths of the contract, so that few changes are written. */
  private static final int STEPS = 8;

  /** Part of a rate that a data centre keeps without demand: one in so many. */
  private static final int RESERVE_ONE_IN = 400;

  /** A burst or concurrency of so many per data centre leaves one to each without demand. */
  private static final int ROOM_FOR_RESERVE = 20;

  /** Plans the next step of {@code own}. */
  static DivisionPlan of(Division read, Contract contract, Scene scene) {
    Share whole = Share.of(contract.ratePerSecond(), contract.burst(), contract.concurrency());
    Division division = prepare(read, whole, scene);
    Share published = published(scene.demand(), whole, division, scene.own());
    Entry mine = new Entry(division.share(scene.own()), published);
    division = division.with(scene.own(), mine);
    Share target = target(division, published, whole);
    Share ceiling = lowered(division, scene.own(), mine.share(), target);
    Share next = reclaimed(mine.share(), ceiling, scene.counted());
    Share slack = whole.minus(division.total());
    Share raised = raised(next, published, target, slack);
    return new DivisionPlan(
        division.with(scene.own(), new Entry(raised, published)),
        ceiling.equals(mine.share()) ? raised : ceiling);
  }

  /** Returns what a data centre may use of a contract that may have become smaller since. */
  static Share usable(Division division, DataCentreId dataCentre, Contract contract) {
    Share whole = Share.of(contract.ratePerSecond(), contract.burst(), contract.concurrency());
    return scaled(division.share(dataCentre), division.total(), whole);
  }

  private static Division prepare(Division read, Share whole, Scene scene) {
    Division living = read.without(scene.lost());
    if (living.entries().isEmpty()) {
      return equalParts(whole, scene.dataCentres());
    }
    Share total = living.total();
    if (total.fitsIn(whole)) {
      return living;
    }
    Division scaled = living;
    for (var entry : living.entries().entrySet()) {
      Share part = scaled(entry.getValue().share(), total, whole);
      scaled = scaled.with(entry.getKey(), new Entry(part, entry.getValue().wanted().min(whole)));
    }
    return scaled;
  }

  private static Division equalParts(Share whole, Collection<DataCentreId> dataCentres) {
    Division division = Division.EMPTY;
    Share left = whole;
    int parts = dataCentres.size();
    for (DataCentreId dataCentre : dataCentres) {
      Share part =
          new Share(
              left.milliRate() / parts,
              -Math.floorDiv(-left.burst(), parts),
              -Math.floorDiv(-left.concurrency(), parts));
      division = division.with(dataCentre, new Entry(part, Share.NONE));
      left = left.minus(part);
      parts--;
    }
    return division;
  }

  private static Share scaled(Share share, Share total, Share whole) {
    return new Share(
        scaled(share.milliRate(), total.milliRate(), whole.milliRate()),
        scaled(share.burst(), total.burst(), whole.burst()),
        (int) scaled(share.concurrency(), total.concurrency(), whole.concurrency()));
  }

  private static long scaled(long share, long total, long whole) {
    return total <= whole ? share : (long) ((double) share * whole / total);
  }

  private static Share published(Share demand, Share whole, Division division, DataCentreId own) {
    int dataCentres = division.entries().size();
    Share before = division.entries().getOrDefault(own, new Entry(Share.NONE, Share.NONE)).wanted();
    Share reserve =
        new Share(
            whole.milliRate() / RESERVE_ONE_IN,
            whole.burst() >= (long) ROOM_FOR_RESERVE * dataCentres ? 1 : 0,
            whole.concurrency() >= ROOM_FOR_RESERVE * dataCentres ? 1 : 0);
    Share stepped =
        new Share(
            stepped(demand.milliRate(), whole.milliRate(), before.milliRate()),
            stepped(demand.burst(), whole.burst(), before.burst()),
            (int) stepped(demand.concurrency(), whole.concurrency(), before.concurrency()));
    return stepped.max(reserve);
  }

  /** Rounds up to a step, and stays on the step before while the demand is little less. */
  private static long stepped(long demand, long whole, long before) {
    long step = Math.max(1, -Math.floorDiv(-whole, (long) STEPS));
    boolean close = demand > 0 && demand <= before && demand > before - 2 * step;
    return close ? before : Math.min(whole, -Math.floorDiv(-demand, step) * step);
  }

  private static Share target(Division division, Share published, Share whole) {
    return new Share(
        target(division, Share::milliRate, published, whole),
        target(division, Share::burst, published, whole),
        (int) target(division, Share::concurrency, published, whole));
  }

  private static long target(
      Division division, ToLongFunction<Share> part, Share published, Share whole) {
    long[] wanted =
        division.entries().values().stream()
            .mapToLong(entry -> part.applyAsLong(entry.wanted()))
            .toArray();
    long capacity = part.applyAsLong(whole);
    long level = WaterFill.level(wanted, capacity);
    long used = 0;
    for (long each : wanted) {
      used += Math.min(each, level);
    }
    return Math.min(part.applyAsLong(published), level) + (capacity - used) / wanted.length;
  }

  /** Lowers each number that somebody else lacks to the target. */
  private static Share lowered(Division division, DataCentreId own, Share share, Share target) {
    return new Share(
        lowered(division, own, Share::milliRate, share, target),
        lowered(division, own, Share::burst, share, target),
        (int) lowered(division, own, Share::concurrency, share, target));
  }

  private static long lowered(
      Division division, DataCentreId own, ToLongFunction<Share> part, Share share, Share target) {
    boolean lacking =
        division.entries().entrySet().stream()
            .filter(entry -> !entry.getKey().equals(own))
            .map(Map.Entry::getValue)
            .anyMatch(entry -> part.applyAsLong(entry.wanted()) > part.applyAsLong(entry.share()));
    long held = part.applyAsLong(share);
    return lacking ? Math.min(held, part.applyAsLong(target)) : held;
  }

  /** Returns the ceiling in each number that routers hold no more of, else what there was. */
  private static Share reclaimed(Share share, Share ceiling, Share counted) {
    return new Share(
        counted.milliRate() <= ceiling.milliRate() ? ceiling.milliRate() : share.milliRate(),
        counted.burst() <= ceiling.burst() ? ceiling.burst() : share.burst(),
        counted.concurrency() <= ceiling.concurrency()
            ? ceiling.concurrency()
            : share.concurrency());
  }

  /** Raises each number that falls short of what is wanted, as far as nobody holds the rest. */
  private static Share raised(Share share, Share wanted, Share target, Share slack) {
    return new Share(
        raised(share.milliRate(), wanted.milliRate(), target.milliRate(), slack.milliRate()),
        raised(share.burst(), wanted.burst(), target.burst(), slack.burst()),
        (int)
            raised(
                share.concurrency(),
                wanted.concurrency(),
                target.concurrency(),
                slack.concurrency()));
  }

  private static long raised(long share, long wanted, long target, long slack) {
    return wanted <= share ? share : share + Math.min(slack, Math.max(0, target - share));
  }

  /**
   * What a data centre knows when it plans.
   *
   * @param own the data centre
   * @param dataCentres all that are declared and not lost, in a fixed order
   * @param lost those that operators have declared lost
   * @param demand what the routers of {@code own} want
   * @param counted what the routers of {@code own} may hold, known leases or not
   */
  record Scene(
      DataCentreId own,
      Collection<DataCentreId> dataCentres,
      Set<DataCentreId> lost,
      Share demand,
      Share counted) {}
}
