"""Stand-ins of the platform for the review's scripts: store, runners, clients, and gateways as processes.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import copy
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "tamarackdaled")

# As on the sheets of both sites.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "stable_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000,
    "grace_s": 8, "loss_slack_ms": 200, "converge_ms": 2000, "downgrade_ms": 250, "skew_max_ms": 5000,
    "strict_revoke": True, "revoke_ms": 5000, "retry_budget": 0.2, "budget_window_s": 10, "retry_extra": 104,
    "quota_window_s": 8, "quota_overrun": 0.1, "quota_slack": 140000, "recovery_s": 12, "event_delay_ms": 120,
    "retry_after_s": 10,
}


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def add(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}".rstrip() + "\n")
        self.file.flush()


class Cut(Exception):
    """The connection ended before a message was complete."""


async def read_head(reader):
    """Reads a head. Returns its first line and headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader, on_data=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]
        if on_data:
            on_data(data[:-2])


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return await read_chunked(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Host:
    """An HTTP/1.1 server on a loopback address."""

    def __init__(self, address="127.0.0.1", port=0):
        self.address = address
        self.port = port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, self.address, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self, reset=False):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()

    @property
    def target(self):
        return f"{self.address}:{self.port}"

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                keep = await self.answer(method, target, head[1], body, writer)
                if not keep:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body, writer):
        raise NotImplementedError


class Store(Host):
    """The platform's store, form `kv`."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.era = 0
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        # All watches that wait are cut at this interval, in seconds; None: never.
        self.cut_watches_every = None
        self.first_revision = 0

    # What the operator and the runners do.

    async def put(self, key, value, lease=0):
        self._put(key, value, lease)
        await self._notify()

    async def delete(self, key):
        self._delete(key)
        await self._notify()

    def copy(self):
        return copy.deepcopy((self.revision, self.items, self.history, self.leases, self.next_lease))

    async def restore(self, old):
        """Comes back from a copy: what was written since is gone, and the era rises."""
        self.revision, self.items, self.history, self.leases, self.next_lease = copy.deepcopy(old)
        self.era += 1
        await self.start()

    # Calls.

    def _put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
            "created": created, "lease": lease,
        }
        self.history.append(dict(self.items[key]))

    def _delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "revision": self.revision, "removed": True})

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def _expire(self):
        now = time.monotonic()
        lapsed = [lease for lease, (_, end) in self.leases.items() if end <= now]
        for lease in lapsed:
            self._end(lease)
        if lapsed:
            await self._notify()

    def _end(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self._delete(key)

    async def answer(self, method, target, headers, body, writer):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        # An answer takes about 4 ms.
        await asyncio.sleep(0.004)
        await self._expire()
        if parts.path == "/kv-watch":
            reply = await self._watch(query)
        else:
            reply = await self._call(parts.path, query, json.loads(body) if body else {})
        if reply is None:
            return False
        status, value = reply
        text = json.dumps(value).encode()
        writer.write(message(f"HTTP/1.1 {status} X", {
            "content-type": "application/json", "content-length": len(text), "store-era": self.era}, text))
        await writer.drain()
        return True

    async def _watch(self, query):
        since, wait = int(query["since_rev"]), int(query["wait_ms"]) / 1000
        end = time.monotonic() + wait
        cut = None
        if self.cut_watches_every is not None:
            now = self.record.now()
            cut = time.monotonic() + self.cut_watches_every - now % self.cut_watches_every
        while True:
            if since > self.revision or since < self.first_revision:
                return 410, {}
            events = [item for item in self.history
                      if item["revision"] > since and item["key"].startswith(query["prefix"])]
            now = time.monotonic()
            if events or now >= end:
                return 200, {"events": events, "at": self.revision}
            if cut is not None and now >= cut:
                self.record.add("watch-cut", prefix=query["prefix"])
                return None
            left = min(end, cut or end) - now
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _call(self, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, at=self.revision)) if item else (404, {})
        if path == "/kv-range":
            after = query.get("since_rev", "")
            items = [item for key, item in sorted(self.items.items())
                     if key.startswith(query["prefix"]) and key > after]
            return 200, {"items": items[:500], "has_more": len(items) > 500, "at": self.revision}
        if path == "/kv-txn":
            rows = body.get("expect_rev", [])
            revisions = [(row["key"], self.items.get(row["key"], {}).get("revision", 0)) for row in rows]
            if any(known != row["revision"] for row, (_, known) in zip(rows, revisions)):
                return 412, {"items": [self.items.get(key, {"key": key, "revision": 0}) for key, _ in revisions]}
            if any(put.get("lease", 0) and put["lease"] not in self.leases for put in body.get("puts", [])):
                return 404, {}
            for put in body.get("puts", []):
                self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            for key in body.get("deletes", []):
                self._delete(key)
            await self._notify()
            return 200, {"revision": self.revision}
        if path == "/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (body["ttl_ms"] / 1000, time.monotonic() + body["ttl_ms"] / 1000)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        number = int(path.rsplit("/", 1)[1])
        if number not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl, _ = self.leases[number]
            self.leases[number] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        self._end(number)
        await self._notify()
        return 200, {}


class Runner(Host):
    """A runner: runs requests that are meant for it and records them."""

    def __init__(self, record, name, service, slots=8, work_s=0.03):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.at_work = 0

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": self.target, "zone": "a", "version": "v1", "slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
        }).encode()

    async def beat(self, store):
        """Registers, and again where the entry is missing, until it is cancelled. An entry of which only
        `sequence` would change stays as it is."""
        while True:
            if store.server and f"servers/{self.name}" not in store.items:
                await store.put(f"servers/{self.name}", self.entry())
            await asyncio.sleep(1.2)

    async def answer(self, method, target, headers, body, writer):
        path = urlsplit(target).path
        attempt = headers.get("attempt-id", "")
        if path in ("/report", "/health"):
            value = {"stage": "mixed", "models": [], "queued": 0, "running": self.at_work, "born": self.born}
            return await self.reply(writer, 200, {"instance-id": self.name}, json.dumps(value).encode())
        if headers.get("expect-instance", self.name) != self.name:
            return await self.reply(writer, 421, {"attempt-id": attempt, "not-executed": "1"}, b"{}")
        run = {"id": attempt, "at": time.monotonic(), "tenant": headers.get("tenant", "")}
        self.runs.append(run)
        self.record.add("run", runner=self.name, id=attempt, tenant=run["tenant"], bytes=len(body))
        self.at_work += 1
        try:
            return await self.work(method, headers, body, writer, attempt)
        finally:
            self.at_work -= 1

    async def work(self, method, headers, body, writer, attempt):
        await asyncio.sleep(self.work_s)
        return await self.reply(writer, 200, {"attempt-id": attempt, "response-seal": "seal"},
                                f"{self.name} ran {attempt}".encode())

    async def reply(self, writer, status, headers, body):
        headers = dict(headers, **{"content-length": len(body)})
        writer.write(message(f"HTTP/1.1 {status} X", headers, body))
        await writer.drain()
        return True


class Answer:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_whole = False


async def send(address, port, method, path, headers, body=b"", limit_s=20.0):
    """Sends one request on a new connection and reads its answer."""
    answer = Answer()

    async def run():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            head = dict(headers, **{"host": "site.example", "content-length": len(body)})
            writer.write(message(f"{method} {path} HTTP/1.1", head, body))
            await writer.drain()
            parsed = await read_head(reader)
            if parsed is None:
                return
            answer.status = int(parsed[0].split(" ")[1])
            answer.headers = parsed[1]

            def add(data):
                answer.body += data

            if "chunked" in answer.headers.get("transfer-encoding", ""):
                await read_chunked(reader, add)
            elif "content-length" in answer.headers:
                answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            else:
                answer.body = await reader.read()
            answer.is_whole = True
        finally:
            writer.close()

    try:
        await asyncio.wait_for(run(), limit_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        pass
    return answer


def request_headers(attempt, key="key", budget_ms=3000, tokens=None):
    headers = {"attempt-id": attempt, "time-budget": budget_ms, "authorization": f"Bearer {key}"}
    if tokens:
        headers["token-usage"] = tokens
    return headers


def route(name, kind, service, attempts=1, resume=False, timeout_ms=3000):
    return {
        "name": name, "host": "site.example", "prefix": f"/{name}/", "route_type": kind, "timeout_ms": timeout_ms,
        "target_latency_ms": 300, "priority": 0, "service": service, "attempts": attempts, "anonymous": False,
        "stream_resume": resume, "session_affinity": kind == "streaming", "target_gap_ms": 200,
    }


def configuration(version, tenants=None, max_body_bytes=4194304, timeout_ms=3000):
    tenants = {"o": ["key"]} if tenants is None else tenants
    return json.dumps({
        "version": version,
        "routes": [
            route("stream", "streaming", "engine", timeout_ms=timeout_ms),
            route("resumable", "streaming", "engine", attempts=2, resume=True, timeout_ms=timeout_ms),
            route("booking", "non_idempotent", "plain", timeout_ms=timeout_ms),
            route("status", "idempotent", "plain", attempts=2, timeout_ms=timeout_ms),
        ],
        "services": [
            {"name": "engine", "health_check": "/health", "max_conns": 1220,
             "engine": {"slots": 16, "kv_capacity_tokens": 896902, "stride": 1}},
            {"name": "plain", "health_check": "/health", "max_conns": 192},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [
            {"name": name, "api_keys": keys, "priority": 1, "unit": "tokens", "uncached_tokens": 200,
             "rate_per_s": 100000, "burst": 100000} for name, keys in tenants.items()
        ],
    }).encode()


class Gateway:
    """A gateway process, started as the deploy file says."""

    def __init__(self, record, folder, name, store_target, number, bootstrap=True):
        self.record = record
        self.name = name
        self.store_target = store_target
        # Each gateway has a loopback address of its own, since its metrics port is fixed.
        pid = os.getpid()
        self.address = f"127.{20 + number}.{(pid >> 8) & 255}.{max(2, pid & 255)}"
        self.frontend, self.readiness, self.peers = [free_port(self.address) for _ in range(3)]
        self.settings = os.path.join(folder, f"{name}.toml")
        self.log = os.path.join(folder, f"{name}.log")
        self.bootstrap = bootstrap
        self.process = None

    def start(self):
        bounds = "\n".join(f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items())
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""node_name = "{self.name}"
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = "{self.address}"
zone = "a"
region = "r"
port_range = [{self.peers},{self.peers + 1}]
seeds = []
bootstrap = {json.dumps(self.bootstrap)}
counts_for_quorum = false
discovery = "platform"
ingress = "vip"
heartbeat_ms = 1200
guarantees = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
a = "r"
[bind]
frontend = "{self.address}:{self.frontend}"
readiness = "{self.address}:{self.readiness}"
[limits]
cpu_quota = 0.13
cpu_cores = 1
memory_mb = 182
max_fds = 2940
link_mbps = 700.0
disk_mb = 0
[bounds]
{bounds}
[platform_api]
address = "{self.store_target}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
""")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["TAMARACKDALE_NODE_FILE"] = self.settings
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "gateway"], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.bootstrap = False
        self.record.add("gateway-started", name=self.name)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.add("signal", name=self.name, number=signal.Signals(number).name)

    async def wait_end(self, limit_s):
        end = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        return self.process.poll() is not None

    async def is_ready(self):
        answer = await send(self.address, self.readiness, "GET", "/ready", {}, limit_s=1.0)
        return answer.status == 200

    async def wait_ready(self, limit_s=15.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                self.record.add("gateway-ready", name=self.name)
                return True
            await asyncio.sleep(0.05)
        return False

    async def call(self, method, path, headers, body=b"", limit_s=20.0):
        return await send(self.address, self.frontend, method, path, headers, body, limit_s)

    def kill(self):
        if self.process:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Ingress:
    """Asks each gateway once a second whether it is ready; two misses take it out until it says so again."""

    def __init__(self, record, gateways):
        self.record = record
        self.gateways = gateways
        self.misses = {gateway.name: 2 for gateway in gateways}

    async def run(self):
        while True:
            for gateway in self.gateways:
                ready = await gateway.is_ready()
                before = self.misses[gateway.name]
                self.misses[gateway.name] = 0 if ready else before + 1
                if ready != (before < 2) and (ready or before == 1):
                    self.record.add("in-rotation" if ready else "out-of-rotation", name=gateway.name)
            await asyncio.sleep(1.0)

    def takes(self, gateway):
        return self.misses[gateway.name] < 2


class CannotRun(Exception):
    """The case could not be run."""


def _interrupt(*_):
    raise KeyboardInterrupt


def main(case, limit_s=110):
    """Runs `case(folder, record, trouble, temporary)`, which returns whether the rule held, and exits."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # All processes are ended also if this one is told to end.
    signal.signal(signal.SIGTERM, _interrupt)
    if not os.path.exists(PROGRAM):
        print("target/release/tamarackdaled is missing")
        sys.exit(2)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(asyncio.wait_for(case(folder, record, trouble, temporary), limit_s))
        except (Exception, KeyboardInterrupt) as error:  # a fault of the script itself is no broken rule
            record.add("cannot-run", error=repr(error))
            print(f"cannot run: {error!r}")
            sys.exit(2)
    record.add("result", held=held, trouble=trouble)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
