package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.placement.Rendezvous;

/** Division of the contracts into groups; each data centre has one arbiter per group. */
public final class ContractGroups {
  /** Number of groups, the same in every member. */
  public static final int COUNT = 16;

  private ContractGroups() {}

  /** Returns the group of a contract, from zero to {@link #COUNT}, exclusive. */
  public static int of(ContractId contract) {
    return (int) Long.remainderUnsigned(Rendezvous.hash(contract.value()), COUNT);
  }

  /** Returns the name of the table row that divides a group over the data centres. */
  public static String rowName(int group) {
    return "limits/" + group;
  }
}
