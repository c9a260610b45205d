package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.Incarnation;
import java.util.List;

/** Admits requests of a router within the shares that arbiters have leased to it. */
public final class LimitsReducer implements Reducer<LimitsEvent, LimitsEffect> {
  private LimitsReducer() {}

  /** Returns the reducer of one start of a router. */
  public static LimitsReducer of(Incarnation incarnation) {
    return new LimitsReducer();
  }

  /** Decides whether a request of a contract may run now, without allocation. */
  public Admission admit(ContractId contract, long nowMillis) {
    return Admission.UNKNOWN_CONTRACT;
  }

  /** Returns how long a caller that was not admitted should wait, in milliseconds. */
  public long retryAfterMillis(ContractId contract, long nowMillis) {
    return 0;
  }

  /** Counts an admitted request as finished. */
  public void finished(ContractId contract) {}

  @Override
  public List<LimitsEffect> reduce(LimitsEvent event) {
    return List.of();
  }
}
