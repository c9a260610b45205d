package dev.hornbeamwheel.standins.upstream;

/** A request that waits for a slot or runs in one. */
final class Work {
  final UpstreamRequest request;
  final Responder responder;
  final Grants.Holding holding;
  long startedAtMillis;

  Work(UpstreamRequest request, Responder responder, Grants.Holding holding) {
    this.request = request;
    this.responder = responder;
    this.holding = holding;
  }
}
