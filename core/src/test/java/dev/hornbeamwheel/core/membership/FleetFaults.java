package dev.hornbeamwheel.core.membership;

import java.util.function.BiConsumer;
import java.util.function.Supplier;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/** Chains of faults for a fleet. */
public final class FleetFaults {
  private static final int MAX_LENGTH = 16;

  private FleetFaults() {}

  /** Returns chains of faults, changes of the configuration and time. */
  public static Arbitrary<ActionChain<FleetSimulation>> chain(Supplier<FleetSimulation> start) {
    return ActionChain.startWith(start)
        .withAction(5, action("wait", (fleet, n) -> fleet.advance(n * 37L)))
        .withAction(2, action("store", (fleet, n) -> fleet.storeNextVersion()))
        .withAction(
            1, action("cut member", (fleet, n) -> fleet.cut(name(fleet, n), "members", n % 3 > 0)))
        .withAction(
            1,
            action(
                "cut member off the platform",
                (fleet, n) -> fleet.cut(name(fleet, n), FleetSimulation.PLATFORM, true)))
        .withAction(1, action("isolate data centre", (fleet, n) -> fleet.isolate("dc" + n % 3)))
        .withAction(
            1,
            action(
                "cut data centre off the platform",
                (fleet, n) -> fleet.cut("dc" + n % 3, FleetSimulation.PLATFORM, n % 2 > 0)))
        .withAction(
            1,
            action(
                "stop the platform",
                (fleet, n) -> fleet.cut("members", FleetSimulation.PLATFORM, true)))
        .withAction(1, action("pause", (fleet, n) -> fleet.process(n).pause(n * 60L)))
        .withAction(1, action("kill", (fleet, n) -> fleet.process(n).kill()))
        .withAction(1, action("restart", (fleet, n) -> fleet.process(n).start()))
        .withAction(
            1,
            action("bad network", (fleet, n) -> fleet.network.setFaults(n % 30, n % 20, 1 + n * 3)))
        .withAction(1, action("heal", (fleet, n) -> fleet.heal()))
        .withMaxTransformations(MAX_LENGTH);
  }

  private static String name(FleetSimulation fleet, int n) {
    return fleet.process(n).id.value();
  }

  private static Action.Independent<FleetSimulation> action(
      String name, BiConsumer<FleetSimulation, Integer> effect) {
    return () ->
        Arbitraries.integers()
            .between(0, 99)
            .map(n -> Transformer.mutate(name + " " + n, fleet -> effect.accept(fleet, n)));
  }
}
