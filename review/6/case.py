"""A planned stop of the host that coordinates: keyed requests on it wait for a holder that it never learns of."""
import asyncio
import os
import signal
import sys
from collections import deque

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from standins import *  # noqa: F403

# Figures of the site kerbriant-pile-grown.
GRACE_S = 6  # grace_period_s
LOSS_SLACK_S = 0.2  # loss_slack_ms
DEADLINE_S = 6.555  # deadline of drawing-pull; it has no timeout_ms
SLOTS, WORK_S = 2, 0.179  # of a backend of stock-ledger; mean work of drawing-pull
SKEW = 0.66  # how much busier the busy keys are

ZONES = ("quimper", "morlaix", "vannes")
BACKENDS = 18
CONNECTIONS = 300  # kept by the clients of each host
PER_SECOND = 120
LENGTH_S = 11.0
TERM_AT_S = 5.0


def busy_key():
    """Some keys are far busier than others, and the busy ones are close to one another."""
    return int(65536 * random.random() ** (1 / (1 - SKEW)))


async def main(record, folder, hosts):
    store = Store()
    await store.start()
    store.put("op", "config", configuration(
        1, [route("drawing", "draw.example", "/d/", "download", "ledger", timeout_ms=6555)],
        [("ledger", {"sharded": True, "warm_up_s": 3.0, "grants": "call"})]))
    backends = [Backend(store, record, f"i-ledger-{i}", "ledger", ZONES[i % 3], SLOTS, 8, WORK_S, b"d" * 90000,
                        keyed=True) for i in range(BACKENDS)]
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
    others = [host for host in hosts if host is not target]
    pools = {host: deque() for host in hosts}
    for host in hosts:
        for _ in range(CONNECTIONS):
            client = Client(host, record)
            await client.connect()
            pools[host].append(client)

    results, taken_out, stopped = [], set(), []

    def connected(host):
        """Returns the connection to a host that has been idle longest."""
        while pools[host]:
            client = pools[host].popleft()
            if client.usable():
                return client
        return None

    async def send(host):
        client = connected(host) or connected(random.choice(others))
        if client is None:
            open_hosts = [h for h in hosts if h not in taken_out]
            client = Client(random.choice(open_hosts), record)
        try:
            results.append(await client.request("GET", "/d/1", "draw.example", DEADLINE_S,
                                                [(SHARD_KEY, busy_key())]))
        except (OSError, asyncio.TimeoutError):
            return  # no connection was made, nothing was sent
        if client.usable():
            pools[client.host].append(client)

    async def balance():
        """Takes a host out after two misses in a row, as the platform does."""
        misses = dict.fromkeys(hosts, 0)
        while True:
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
        # The hash of the platform gives the hosts uneven shares.
        requests.append(asyncio.ensure_future(send(target if i % 5 < 3 else others[i % 2])))
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
        if sent.ended >= sent.sent + DEADLINE_S - 0.1:
            continue  # the deadline was reached
        at_work = any(r.ended is None or r.ended >= term + GRACE_S * 5 / 6 for r in runs.get(sent.attempt, []))
        if at_work and sent.sent <= term + 3:
            continue  # its backend was at work in the last sixth of the grace period
        lost.append(sent)
        lines.append(
            f"LOST {sent.attempt}: sent {sent.sent - term:+.2f} s from the SIGTERM, cut at {sent.ended - term:+.2f} s, "
            f"{sent.sent + DEADLINE_S - sent.ended:.2f} s before its deadline, "
            f"{'had run' if sent.attempt in runs else 'never sent to a backend'}")
    lines.append(f"lost: {len(lost)} of {len(results)}")
    return lines, not lost


run(main)
