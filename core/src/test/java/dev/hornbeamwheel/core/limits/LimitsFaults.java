package dev.hornbeamwheel.core.limits;

import java.util.function.BiConsumer;
import java.util.function.Supplier;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/** Chains of faults for routers and arbiters. */
final class LimitsFaults {
  private LimitsFaults() {}

  static Arbitrary<ActionChain<LimitsSimulation>> chain(Supplier<LimitsSimulation> start) {
    return ActionChain.startWith(start)
        .withAction(6, action("wait", (fleet, n) -> fleet.time.advance(n * 41L)))
        .withAction(4, action("offer", (fleet, n) -> fleet.router(n).offered(n * 15)))
        .withAction(2, action("kill", (fleet, n) -> fleet.router(n).kill()))
        .withAction(2, action("restart", (fleet, n) -> fleet.router(n).start()))
        .withAction(2, action("pause", (fleet, n) -> fleet.router(n).pause(n * 50L)))
        .withAction(2, action("change arbiter", (fleet, n) -> fleet.centre(n).changeArbiter()))
        .withAction(
            2,
            action(
                "cut router",
                (fleet, n) -> cut(fleet, fleet.router(n).id.value(), arbiter(fleet, n), n)))
        .withAction(
            2,
            action("cut table", (fleet, n) -> cut(fleet, "dc" + n % 3, LimitsSimulation.TABLE, n)))
        .withAction(1, action("lose answers", (fleet, n) -> fleet.unanswered(n)))
        .withAction(
            2,
            action("bad network", (fleet, n) -> fleet.network.setFaults(n % 40, n % 30, 1 + n * 9)))
        .withAction(1, action("heal", (fleet, n) -> fleet.heal()))
        .withMaxTransformations(24);
  }

  private static String arbiter(LimitsSimulation fleet, int n) {
    return fleet.router(n).centre.id + "/arbiter";
  }

  private static void cut(LimitsSimulation fleet, String one, String other, int n) {
    fleet.network.cut(one, other);
    if (n % 2 == 0) {
      fleet.network.cut(other, one);
    }
  }

  private static Action.Independent<LimitsSimulation> action(
      String name, BiConsumer<LimitsSimulation, Integer> effect) {
    return () ->
        Arbitraries.integers()
            .between(0, 99)
            .map(n -> Transformer.mutate(name + " " + n, fleet -> effect.accept(fleet, n)));
  }
}
