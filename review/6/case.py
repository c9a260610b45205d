"""A planned stop of the host that coordinates: keyed requests on it wait for a holder that it never learns of."""
import asyncio
import os
import signal
import sys
from collections import deque

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins  # noqa: E402
from standins import *  # noqa: E402,F403

# Figures of the site adwenpa-gw-grown.
GRACE_S = 6  # grace_period_s
LOSS_SLACK_S = 0.2  # loss_slack_ms
SLOTS = 3  # of a backend of records-svc
SKEW = 0.39  # how much busier the busy keys are


class Kind:
    def __init__(self, name, method, deadline_s, timeout_s, work_s):
        self.name, self.method, self.deadline_s, self.work_s = name, method, deadline_s, work_s
        self.limit_s = min(deadline_s, timeout_s)


LIST = Kind("list", "GET", 8.133, 4.0, 0.558)  # donor-card-list, safe
SCAN = Kind("scan", "POST", 5.395, 5.395, 0.17)  # id-scan-upload, may run once, no timeout_ms

ZONES = ("accra-a", "accra-b", "tema-a")
BACKENDS = 45
CONNECTIONS = 350  # kept by the clients of each host
PER_SECOND = 160  # half of what the backends serve
LENGTH_S = 11.0
TERM_AT_S = 5.0


class Records(Backend):
    """A backend of records-svc, whose work depends on the kind of request."""

    async def handle(self, head, body):
        self.work_s = LIST.work_s if head.first.startswith("GET") else SCAN.work_s
        return await super().handle(head, body)

    def work_time(self):
        return self.work_s * random.uniform(0.6, 1.4)


def busy_key():
    """Some keys are far busier than others, and the busy ones are close to one another."""
    return int(65536 * random.random() ** (1 / (1 - SKEW)))


async def main(record, folder, hosts):
    store = Store()
    await store.start()
    store.put("op", "config", configuration(
        1, [route("list", "list.example", "/l/", "safe", "records", timeout_ms=4000, target_latency_ms=2033),
            route("scan", "scan.example", "/s/", "upload", "records", timeout_ms=5395, target_latency_ms=1295,
                  priority=1)],
        [("records", {"sharded": True, "warm_up_s": 3.0, "grants": "call"})]))
    backends = [Records(store, record, f"i-records-{i}", "records", ZONES[i % 3], SLOTS, 8, body=b"r" * 1500, keyed=True)
                for i in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    hosts += [Host(f"front-{zone}-1", zone, store, folder, GRACE_S) for zone in ZONES]
    for host in hosts:
        host.start()
    for host in hosts:
        if not await host.await_ready():
            return ["a host did not become ready"], None
    await asyncio.sleep(4)
    target = coordinator(store, hosts)
    if target is None:
        return ["no host coordinates"], None
    first, second = (host for host in hosts if host is not target)
    shares = (target, first, target, second, target)  # the hash of the platform gives hosts uneven shares
    pools = {host: deque() for host in hosts}
    for host in hosts:
        for _ in range(CONNECTIONS):
            client = Client(host, record)
            await client.connect()
            pools[host].append(client)

    results, taken_out, stopped = [], set(), []

    def kept(host):
        """Returns the connection to a host that has been idle longest."""
        while pools[host]:
            client = pools[host].popleft()
            if client.usable():
                return client
        return None

    async def send(host, kind):
        client = kept(host)
        if client is None:
            in_rotation = [h for h in hosts if h not in taken_out]
            client = Client(host if host in in_rotation else random.choice(in_rotation), record)
        body = b"s" * random.randint(20_000, 100_000) if kind is SCAN else b""
        try:
            sent = await client.request(kind.method, f"/{kind.name[0]}/1", f"{kind.name}.example", kind.deadline_s,
                                        [(SHARD_KEY, busy_key())], body)
        except (OSError, asyncio.TimeoutError):
            return  # no connection was made, nothing was sent
        sent.kind = kind
        results.append(sent)
        if client.usable():
            pools[client.host].append(client)

    async def balance():
        """Takes a host out after two misses in a row, as the platform does."""
        misses = dict.fromkeys(hosts, 0)
        while not standins.finished:
            for host in hosts:
                misses[host] = 0 if await host.ready() else misses[host] + 1
                if misses[host] >= 2:
                    taken_out.add(host)
            await asyncio.sleep(1)

    async def stop():
        await asyncio.sleep(TERM_AT_S)
        if TROUBLE:
            record.add(f"SIGTERM to {target.name}, which coordinates")
            stopped.append(now())
            target.signal(signal.SIGTERM)

    tasks = [asyncio.ensure_future(balance()), asyncio.ensure_future(stop())]
    begin = now()
    requests = []
    for i in range(int(PER_SECOND * LENGTH_S)):
        await asyncio.sleep(max(0, begin + i / PER_SECOND - now()))
        kind = SCAN if i % 9 in (2, 3, 7) else LIST
        requests.append(asyncio.ensure_future(send(shares[i % 5], kind)))
    await asyncio.gather(*requests)
    for task in tasks:
        task.cancel()
    return judge(results, backends, target, stopped)


def judge(results, backends, target, stopped):
    """The rule LOST around planned work, with its excuses."""
    runs = {}
    for backend in backends:
        for run_of in backend.runs:
            runs.setdefault(run_of.attempt, []).append(run_of)
    counts = {}
    for sent in results:
        counts[sent.status] = counts.get(sent.status, 0) + 1
    lines = [f"requests by status (None: connection ended, 0: client's deadline): {counts}"]
    lost = []
    for sent in results:
        if sent.status is not None or not stopped or sent.host is not target:
            continue
        term = stopped[0]
        if sent.ended < term or sent.ended > term + GRACE_S + 1:
            continue  # not around the planned work
        if sent.attempt not in runs and sent.ended - sent.sent <= LOSS_SLACK_S:
            continue  # crossed the close
        if sent.ended >= sent.sent + sent.kind.limit_s - 0.1:
            continue  # the deadline or the route's timeout was reached
        at_work = any(r.ended is None or r.ended >= term + GRACE_S * 5 / 6 for r in runs.get(sent.attempt, []))
        if at_work and sent.sent <= term + 3:
            continue  # its backend was at work in the last sixth of the grace period
        lost.append(sent)
        lines.append(
            f"LOST {sent.kind.name} {sent.attempt}: sent {sent.sent - term:+.2f} s from the SIGTERM, "
            f"cut at {sent.ended - term:+.2f} s, {sent.sent + sent.kind.limit_s - sent.ended:.2f} s before its limit, "
            f"{'had run' if sent.attempt in runs else 'never sent to a backend'}")
    lines.append(f"lost: {len(lost)} of {len(results)}")
    return lines, not lost


run(main)
