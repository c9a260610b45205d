"""Small stand-ins for a site: the platform's store, backends, clients, and the start of host programs.

Everything runs on 127.0.0.1 in one event loop; only the host programs are processes of their own.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

ATTEMPT = "X-Hornbeamwheel-Request-Attempt-Id"
DEADLINE = "X-Hornbeamwheel-Deadline-Milliseconds"
SIGNATURE = "X-Hornbeamwheel-Response-Signature"
NOT_EXECUTED = "X-Hornbeamwheel-Not-Executed"
EXPECTED = "X-Hornbeamwheel-Expected-Instance"
INSTANCE = "X-Hornbeamwheel-Instance-Id"
LOAD = "X-Hornbeamwheel-Server-Load"
SHARD_KEY = "X-Hornbeamwheel-Shard-Key"
HANDOVER = "X-Hornbeamwheel-Handover"

LOOPBACK = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


def now():
    """Seconds since the start of this script."""
    return time.monotonic() - START


GIVEN_PORTS = set()

# Set at the end of a case. A wait with a timeout may swallow the cancellation of its task, so loops look here.
finished = False


def free_port():
    """A port that is free now, below those that the system gives to outgoing connections."""
    while True:
        port = random.randint(20000, 30000)
        if port in GIVEN_PORTS:
            continue
        GIVEN_PORTS.add(port)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
                return port
            except OSError:
                continue


class Record:
    """What was sent, answered and run; written to record.txt beside the script."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.lines = []

    def add(self, text):
        self.lines.append(f"{now():8.3f} {text}")

    def write(self, verdict):
        with open(self.path, "w", encoding="utf-8") as out:
            out.write("\n".join(self.lines + verdict) + "\n")
        print("\n".join(verdict))


# ---------------------------------------------------------------- HTTP/1.1


class Head:
    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads a head; None if the connection ended before one."""
    line = await reader.readline()
    while line in (b"\r\n", b"\n"):
        line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n"):
            return Head(line.decode("latin-1").strip(), headers)
        if not field:
            return None
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, head):
    if head.get("transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readline()
    length = int(head.get("content-length", "0") or 0)
    return await reader.readexactly(length) if length else b""


def answer(status, headers=(), body=b"", reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{n}: {v}" for n, v in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# ---------------------------------------------------------------- the platform's store


class Store:
    """Rows with versions, conditional transactions and a feed, as the pages describe them."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0
        self.writers = set()
        self.commits = []
        # Called with each transaction before it is done; may delay it or lose its answer.
        self.on_transaction = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (json.dumps(value).encode(), self.version, False)
        self.wake()

    def remove(self, table, key):
        if (table, key) in self.rows:
            self.version += 1
            self.rows[(table, key)] = (b"", self.version, True)
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def value(self, table, key):
        row = self.rows.get((table, key))
        return json.loads(row[0]) if row and not row[2] else None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not finished:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                reply = await self.handle(head, body)
                if reply is None:
                    return
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, head, body):
        method, target, _ = head.first.split(" ", 2)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.endswith("/rows-tx"):
            return await self.transaction(json.loads(body))
        await asyncio.sleep(0.004)
        if url.path.endswith("/rows-get"):
            return self.reply(200, self.read(query))
        if url.path.endswith("/rows-feed"):
            return await self.feed(query)
        return answer(404)

    async def transaction(self, body):
        deed = self.on_transaction(body) if self.on_transaction else None
        if deed is not None:
            return await deed
        await asyncio.sleep(0.005)
        return self.commit(body)

    def commit(self, body):
        for condition in body.get("precondition", []):
            row = self.rows.get((condition["table_name"], condition["key"]))
            known = 0 if row is None or row[2] else row[1]
            if known != condition["row_version"]:
                return self.reply(412, {"rows": []})
        self.version += 1
        for write in body.get("writes", []):
            value = base64.b64decode(write["value"])
            self.rows[(write["table_name"], write["key"])] = (value, self.version, False)
            self.commits.append((now(), write["table_name"], write["key"], value.decode()))
        self.wake()
        return self.reply(200, {})

    def read(self, query):
        table = query.get("table_name", "")
        keys = sorted(k for t, k in self.rows if t == table and k >= query.get("from_key", ""))
        live = [k for k in keys if not self.rows[(table, k)][2]]
        limit = int(query.get("limit", "500"))
        return {"rows": [self.row(table, k) for k in live[:limit]], "has_more": len(live) > limit}

    def row(self, table, key):
        value, version, deleted = self.rows[(table, key)]
        row = {"table_name": table, "part": "", "key": key, "row_version": version}
        row["value"] = base64.b64encode(value).decode()
        if deleted:
            row["deleted"] = True
        return row

    async def feed(self, query):
        table, after = query.get("table_name", ""), int(query.get("after", "0"))
        until = now() + int(query.get("wait_ms", "0")) / 1000
        while True:
            news = [(row[1], key) for (t, key), row in self.rows.items() if t == table and row[1] > after]
            left = until - now()
            if news or left <= 0:
                return self.reply(200, {"rows": [self.row(table, key) for _, key in sorted(news)]})
            waiter = asyncio.ensure_future(self.changed.wait())
            await asyncio.wait({waiter}, timeout=left)
            waiter.cancel()

    def reply(self, status, body):
        body.update(row_version=self.version, now_ms=int(time.monotonic() * 1000))
        return answer(status, [("Content-Type", "application/json")], json.dumps(body).encode())


# ---------------------------------------------------------------- backends


class Run:
    """One request that a backend began to work on."""

    def __init__(self, backend, attempt, key):
        self.backend = backend
        self.attempt = attempt
        self.key = key
        self.arrived = now()
        self.began = None
        self.ended = None


class Backend:
    """A backend with some slots and a short queue; one of a service with keys holds what it is granted."""

    def __init__(self, store, record, name, service, zone, slots=2, queue=8, work_s=0.18, body=b"x" * 2000,
                 keyed=False, cold_ms=0):
        self.store, self.record, self.name, self.service, self.zone = store, record, name, service, zone
        self.slots, self.queue, self.work_s, self.body, self.keyed = slots, queue, work_s, body, keyed
        self.cold_ms = cold_ms
        self.born = int(time.time() * 1000)
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.running = 0
        self.runs = []
        self.grants = []  # [first, last, fence, held until]
        self.fences = []  # [first, last, greatest fence seen]
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self, state="ready"):
        self.store.put("servers", self.name, {
            "address": f"{LOOPBACK}:{self.port}", "born": self.born,
            "server_info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": state, "sequence": 1, "cold_remaining_ms": self.cold_ms}})

    def end(self):
        """Ends at once, as a crash does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not finished:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                gone = asyncio.ensure_future(self.closed(reader))
                work = asyncio.ensure_future(self.handle(head, body))
                await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    await asyncio.gather(work, return_exceptions=True)
                    return
                gone.cancel()
                await asyncio.gather(gone, return_exceptions=True)
                reply = work.result()
                if reply is None:
                    return
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def closed(reader):
        """Returns once the other side has closed the connection."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.2)

    async def handle(self, head, body):
        method, path, _ = head.first.split(" ", 2)
        expected = head.get(EXPECTED)
        if expected and expected != self.name:
            return answer(421, [(INSTANCE, self.name), (ATTEMPT, head.get(ATTEMPT))])
        if path == "/health":
            return answer(200, [(INSTANCE, self.name), self.load()])
        if path == "/hornbeamwheel/grant":
            return self.grant(json.loads(body), head)
        if path == "/hornbeamwheel/release":
            return await self.release(json.loads(body), head)
        return await self.work(head)

    def load(self):
        return (LOAD, f"{self.running},{self.waiting},{self.slots}")

    async def work(self, head):
        attempt = head.get(ATTEMPT)
        key = int(head.get(SHARD_KEY, "-1"))
        echo = [(ATTEMPT, attempt), self.load()]
        if not attempt:
            return answer(400, [(NOT_EXECUTED, "1")])
        if self.keyed and not self.holds(key):
            return answer(421, echo + [(NOT_EXECUTED, "1")])
        if self.waiting >= self.queue:
            return answer(503, echo + [(NOT_EXECUTED, "1")])
        deadline = now() + float(head.get(DEADLINE, "30000")) / 1000
        run = Run(self, attempt, key)
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), max(0.001, deadline - now()))
        except asyncio.TimeoutError:
            return answer(503, echo + [(NOT_EXECUTED, "1")])
        finally:
            self.waiting -= 1
        if self.keyed and not self.holds(key):
            self.free.release()
            return answer(421, echo + [(NOT_EXECUTED, "1")])
        self.running += 1
        run.began = now()
        self.runs.append(run)
        self.record.add(f"{self.name} begins {attempt}")
        try:
            left = deadline - now()
            work_s = self.work_time()
            await asyncio.sleep(min(work_s, max(0, left)))
            if work_s > left:
                return answer(504, echo + [(SIGNATURE, "late")])
            return answer(200, echo + [(SIGNATURE, f"{self.name}.{attempt}")], self.body)
        finally:
            run.ended = now()
            self.running -= 1
            self.free.release()

    def work_time(self):
        return self.work_s

    def holds(self, key):
        return any(first <= key <= last and now() < until for first, last, _, until in self.grants)

    def grant(self, order, head):
        first, last, fence = order["from_key"], order["target"], order["fence"]
        echo = [(ATTEMPT, head.get(ATTEMPT))]
        if any(f <= last and first <= l and fence < seen for f, l, seen in self.fences):
            return answer(409, echo)
        self.fences.append((first, last, fence))
        self.fences = self.fences[-500:]
        self.drop(first, last)
        self.grants.append((first, last, fence, now() + order["hold_ms"] / 1000))
        return answer(200, echo)

    def drop(self, first, last):
        kept = []
        for f, l, fence, until in self.grants:
            if l < first or f > last:
                kept.append((f, l, fence, until))
                continue
            if f < first:
                kept.append((f, first - 1, fence, until))
            if l > last:
                kept.append((last + 1, l, fence, until))
        self.grants = kept

    async def release(self, order, head):
        first, last = order["from_key"], order["target"]
        self.drop(first, last)
        while any(r.ended is None and first <= r.key <= last for r in self.runs):
            await asyncio.sleep(0.01)
        return answer(200, [(ATTEMPT, head.get(ATTEMPT)), (HANDOVER, "%016x" % random.getrandbits(64))])


# ---------------------------------------------------------------- clients


class Sent:
    """One client attempt."""

    def __init__(self, host, attempt, deadline_s):
        self.host, self.attempt, self.deadline_s = host, attempt, deadline_s
        self.sent = None
        self.ended = None
        self.status = None  # None: the connection ended without a complete answer
        self.signature = ""
        self.head = None


class Client:
    """A client that keeps a connection to one host and sends one request at a time."""

    def __init__(self, host, record):
        self.host, self.record = host, record
        self.reader = self.writer = None

    def usable(self):
        """Returns whether the connection is open, as far as this side has noticed."""
        return self.writer is not None and not self.reader.at_eof() and self.reader.exception() is None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(LOOPBACK, self.host.port, limit=1 << 20), 1)

    async def request(self, method, path, host_name, deadline_s, headers=(), body=b""):
        if self.writer is None:
            await self.connect()
        sent = Sent(self.host, "%016x" % random.getrandbits(64), deadline_s)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host_name}", f"{ATTEMPT}: {sent.attempt}",
                 f"{DEADLINE}: {int(deadline_s * 1000)}"] + [f"{n}: {v}" for n, v in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        sent.sent = now()
        self.record.add(f"client sends {sent.attempt} to {self.host.name}")
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await asyncio.wait_for(self.receive(sent), deadline_s)
        except asyncio.TimeoutError:
            sent.status = 0  # the client gave up at its deadline
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, IndexError):
            sent.status = None
        sent.ended = now()
        if sent.status is None or sent.status == 0 or sent.head.get("connection").lower() == "close":
            self.close()
        shown = {None: "connection ended without a complete answer", 0: "client's deadline passed"}
        self.record.add(f"client got for {sent.attempt}: {shown.get(sent.status, sent.status)}")
        return sent

    async def receive(self, sent):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError("closed")
        await read_body(self.reader, head)
        sent.head, sent.status = head, int(head.first.split(" ")[1])
        sent.signature = head.get(SIGNATURE)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None


# ---------------------------------------------------------------- host programs


class Host:
    """A host program, started with the command of the deploy file."""

    def __init__(self, name, zone, store, folder, grace_s=6, cores="0.75"):
        self.name, self.zone = name, zone
        self.port, self.ready_port, self.peer_port, self.metrics_port = (free_port() for _ in range(4))
        self.file = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        settings = {
            "host": name, "dataCentre": zone, "callerAddress": f"{LOOPBACK}:{self.port}",
            "readinessAddress": f"{LOOPBACK}:{self.ready_port}", "peerAddress": f"{LOOPBACK}:{self.peer_port}",
            "metricsAddress": f"{LOOPBACK}:{self.metrics_port}", "storeAddress": f"{LOOPBACK}:{store.port}",
            "processorCores": cores, "processorSpeed": "2", "linkMegabitsPerSecond": "140.0",
            "holdMaxMillis": 10000, "graceSeconds": grace_s, "plannedHosts": 150, "bufferMebibytes": 24}
        with open(self.file, "w", encoding="utf-8") as out:
            json.dump(settings, out)

    def start(self):
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(
                ["java", "@target/host/host.args", "dev.hornbeamwheel.host.HostMain"],
                cwd=ROOT, env=dict(os.environ, HORNBEAMWHEEL_CONFIG=self.file),
                stdin=subprocess.DEVNULL, stdout=out, stderr=subprocess.STDOUT)

    def signal(self, number):
        self.process.send_signal(number)

    async def ready(self):
        """Asks for readiness as the platform does."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(LOOPBACK, self.ready_port), 0.5)
            writer.write(b"GET /hornbeamwheel/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return head is not None and " 200 " in head.first + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self, limit_s=30):
        until = now() + limit_s
        while now() < until:
            if await self.ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def route(name, host, prefix, kind, service, **more):
    fields = {"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service,
              "target_latency_ms": 1639, "priority": 2, "max_attempts": 2}
    fields.update(more)
    return fields


def configuration(version, routes, services):
    return {
        "version": f"r{version}", "routes": routes,
        "services": [dict({"name": name, "health_check_path": "/health", "connection_limit": 945,
                           "protocol": "h1", "tls": False, "cold_start_s": 3.0, "cold_per_s": 2.6}, **more)
                     for name, more in services],
        "limits": {"header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}}


def coordinator(store, hosts):
    """Returns the host that the lease row names, as the platform can see it; None without one."""
    row = store.value("hornbeamwheel-lease", "coordinator")
    return next((h for h in hosts if row and row["holder"] == h.name), None)


def run(main):
    """Runs a case: main(record, folder) returns the lines of a verdict and whether the rule held."""
    import sys
    case = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(case)
    hosts = []

    def end():
        global finished
        finished = True
        for host in hosts:
            host.end()

    async def whole():
        try:
            return await asyncio.wait_for(main(record, folder, hosts), 100)
        finally:
            end()

    def give_up():
        end()
        record.write([f"TROUBLE={int(TROUBLE)}", "could not run: not done after 110 s", "exit 2"])
        os._exit(2)

    # A signal that ends this script ends the host programs, too.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: (end(), os._exit(2)))
    watchdog = threading.Timer(110, give_up)
    watchdog.daemon = True
    watchdog.start()
    with tempfile.TemporaryDirectory(prefix="hbw-") as folder:
        try:
            lines, held = asyncio.run(whole())
            code = 2 if held is None else 0 if held else 1
        except (Exception, asyncio.TimeoutError) as e:  # the case couldn't run
            lines, code = [f"could not run: {type(e).__name__} {e}"], 2
            if os.environ.get("SHOW"):
                raise
        finally:
            end()
            if os.environ.get("KEEP_LOGS"):
                import shutil
                shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    record.write([f"TROUBLE={int(TROUBLE)}"] + lines + [f"exit {code}"])
    sys.exit(code)
