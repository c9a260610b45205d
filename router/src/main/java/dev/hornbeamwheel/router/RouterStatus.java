package dev.hornbeamwheel.router;

/**
 * What {@code /status} shows of a router.
 *
 * @param member this process
 * @param role {@code router}
 * @param configurationVersion version in force in this process
 * @param requestsInFlight requests in flight
 * @param membersPresent members that this process believes to be present
 */
record RouterStatus(
    String member,
    String role,
    long configurationVersion,
    int requestsInFlight,
    long membersPresent) {}
