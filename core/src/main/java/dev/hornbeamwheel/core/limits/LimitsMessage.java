package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.Incarnation;
import java.util.List;

/** A message between a router and the arbiter of a group of contracts. */
public sealed interface LimitsMessage {
  /** Returns the group of contracts. */
  int group();

  /**
   * A router reports what it holds and wants; the answer renews its lease.
   *
   * @param group the group
   * @param incarnation the start of the router that is meant
   * @param sequence greater than that of each earlier request of this start
   * @param applied sequence of the latest grant that the router follows; it will follow no earlier
   *     one
   * @param claims one per contract that the router holds or wants
   */
  record Request(
      int group, Incarnation incarnation, long sequence, long applied, List<Claim> claims)
      implements LimitsMessage {
    /** Copies the list. */
    public Request {
      claims = List.copyOf(claims);
    }
  }

  /**
   * The answer to a request.
   *
   * @param group the group
   * @param sequence that of the request
   * @param leaseMillis validity of the shares, counted by the router from when it sent the request
   * @param grants one per claim of the request that was granted anything
   */
  record Grant(int group, long sequence, long leaseMillis, List<Granted> grants)
      implements LimitsMessage {
    /** Copies the list. */
    public Grant {
      grants = List.copyOf(grants);
    }
  }

  /**
   * What a router holds and wants of one contract.
   *
   * @param contract the contract
   * @param held the share that it holds under a lease that has not lapsed; its concurrency is at
   *     least the number of requests in flight
   * @param wanted the share that would satisfy its callers
   */
  record Claim(ContractId contract, Share held, Share wanted) {}

  /** The share of one contract that a router may use. */
  record Granted(ContractId contract, Share share) {}
}
