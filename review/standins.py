"""Stand-ins for the platform's store, backends and clients, and the start of daemons from the deploy file.

Every case script imports this module. All sockets are on loopback addresses, with free ports.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["morava-a", "morava-b", "morava-c"]


class Broken(Exception):
    """The peer closed the connection, or sent bytes that are no message."""


class Record:
    """Writes what happened to `record.txt`, with the time since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the start line and the headers of the next message; None at a clean end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("a head broke off") from None
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise Broken(str(error)) from None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the whole body of a message; raises `Broken` if it ends early."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = bytearray()
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    while await reader.readuntil(b"\r\n") != b"\r\n":
                        pass
                    return bytes(body)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Broken(f"a body broke off: {error}") from None


def message(start, headers, body=b""):
    """Returns the bytes of a message with a length."""
    lines = [start] + [f"{name}: {value}" for name, value in headers] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_message(status, value):
    body = b"" if value is None else json.dumps(value).encode()
    return message(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")], body)


def milliseconds(text):
    return float(text[:-2]) if text.endswith("ms") else float(text[:-1]) * 1000


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = asyncio.Event()

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.task = asyncio.create_task(self.expire())
        return self

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        known = self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)
        return known is not None

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("createRev", self.revision)
        item = {"key": key, "value": value, "revision": self.revision, "createRev": created, "lease": lease}
        self.items[key] = item
        self.note(self.revision, item)

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note(self.revision, {"key": key, "revision": self.revision, "tombstone": True})

    def note(self, revision, event):
        self.events.append((revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def write_config(self, config):
        """Writes the configuration as the operator does."""
        self.put("op/config", base64.b64encode(json.dumps(config).encode()).decode())

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                start, headers = head
                method, target, _ = start.split(" ")
                body = await read_body(reader, headers)
                status, value = await self.handle(method, target, body)
                writer.write(json_message(status, value))
                await writer.drain()
        except (Broken, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path = url.path.removeprefix("/sardinestall/")
        if path == "kv-key":
            item = self.items.get(query["key"])
            return (404, None) if item is None else (200, {**item, "storeRevision": self.revision})
        if path == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["pathPrefix"]) and k > query.get("after", ""))
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "hasMore": len(keys) > 500, "storeRevision": self.revision}
        if path == "kv-watch":
            after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                changed = self.changed
                events = [e for r, e in self.events if r > after and e["key"].startswith(query["pathPrefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "kv-txn":
            txn = json.loads(body)
            rows = txn.get("precondition", [])
            if any(self.items.get(row["key"], {}).get("revision", 0) != row["revision"] for row in rows):
                return 412, {"items": [self.items[row["key"]] for row in rows if row["key"] in self.items]}
            puts = txn.get("puts", [])
            if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
                return 404, None
            for put in puts:
                self.put(put["key"], put["value"], put.get("lease", 0))
            for key in txn.get("deletes", []):
                self.delete(key)
            return 200, {"revision": self.revision}
        if path == "kv-lease":
            ttl = json.loads(body)["ttl_time"]
            self.revision += 1
            lease = 70_000 + self.revision
            self.leases[lease] = (ttl, time.monotonic() + milliseconds(ttl) / 1000)
            return 200, {"lease": lease, "ttl_time": ttl}
        name, _, lease = path.partition("/")
        if name == "kv-keep" and int(lease) in self.leases:
            ttl, _ = self.leases[int(lease)]
            self.leases[int(lease)] = (ttl, time.monotonic() + milliseconds(ttl) / 1000)
            return 200, {"ttl_time": ttl}
        if name == "kv-lease-end" and method == "DELETE" and self.end_lease(int(lease)):
            return 200, {}
        return 404, None


def route(name, host, prefix, kind, service, timeout="2000ms", objective="600ms", attempts=2, priority=1):
    return name, {"host": host, "pathPrefix": prefix, "routeType": kind, "timeout": timeout,
                  "targetLatency": objective, "priority": priority, "service": service, "maxAttempts": attempts}


def config(version, routes, services):
    """Returns a configuration of the operator."""
    service = {"healthPath": "/healthz", "maxConnections": 130, "protocol": "h1", "tls": False}
    return {"version": version, "routes": dict(routes), "services": {name: service for name in services},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms",
                       "idleTimeout": "15000ms"}}


def free_ports(host, count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((host, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def free_host():
    """Returns a loopback address on which the fixed port of the deploy file's settings is free."""
    while True:
        host = "127." + ".".join(str(random.randint(1, 254)) for _ in range(3))
        with socket.socket() as one:
            try:
                one.bind((host, 7621))
                return host
            except OSError:
                continue


class Machine:
    """A `sidecar` machine: its addresses and its daemon, a process of its own."""

    processes = []

    def __init__(self, name, zone, service, store, record, folder):
        self.name, self.zone, self.service, self.record = name, zone, service, record
        self.host = free_host()
        ports = free_ports(self.host, 6)
        keys = ["inbound", "outbound", "ready", "control"]
        self.listen = {key: f"{self.host}:{port}" for key, port in zip(keys, ports)}
        self.app_port = ports[4]
        fields = {"nodeName": name, "zone": zone, "region": "cz-morava", "service": service,
                  "limits.linkMbps": "1000.0", "ip": self.host, "portRange.0": str(ports[5]),
                  "platform.address": store.address, "bounds.budgetSlack": "64", "bounds.grace": "6s"}
        fields |= {f"listen.{key}": address for key, address in self.listen.items()}
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["daemon"]
        with open(os.path.join(REPOSITORY, role["template"])) as file:
            text = re.sub(r"\{\{([^}]+)\}\}", lambda match: fields[match[1]], file.read())
        self.settings = os.path.join(folder, f"{name}.toml")
        with open(self.settings, "w") as file:
            file.write(text)
        self.command = role["run"].replace("/etc/sardinestall/boot.toml", self.settings).split()
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None

    def start(self):
        self.record(f"{self.name}: the daemon starts at {self.host}")
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(self.command, cwd=REPOSITORY, stdout=log, stderr=log,
                                            env={"PATH": os.environ["PATH"]})
        Machine.processes.append(self.process)

    def kill(self):
        self.record(f"{self.name}: the daemon gets SIGKILL")
        self.process.kill()
        self.process.wait()

    async def wait_ready(self, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                answer = await call(self.listen["ready"], "GET", "/sardinestall/readyz", [("Host", "x")])
                if answer.status == 200:
                    self.record(f"{self.name}: ready")
                    return
            except (Broken, OSError):
                pass
            await asyncio.sleep(0.05)
        raise Impossible(f"{self.name} is not ready after {limit} s")

    @staticmethod
    def end_all():
        for process in Machine.processes:
            if process.poll() is None:
                process.kill()
                process.wait()


class Impossible(Exception):
    """The case cannot run."""


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def open_connection(address):
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port), limit=1 << 20)


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        raise Broken("closed without an answer")
    start, headers = head
    return Answer(int(start.split(" ")[1]), headers, await read_body(reader, headers))


async def call(address, method, path, headers, body=b"", limit=10.0):
    """Sends one request over a new connection; returns the whole answer."""
    reader, writer = await open_connection(address)
    try:
        writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
        return await asyncio.wait_for(read_answer(reader), limit)
    except ConnectionError as error:
        raise Broken(str(error)) from None
    finally:
        writer.close()


class Backend:
    """An application backend, which checks each request and records each run."""

    def __init__(self, machine, record, slots=12, work=0.2):
        self.machine, self.record, self.slots, self.work = machine, record, slots, work
        self.start_boot()
        self.runs = []
        self.running = 0
        self.state = "ready"
        self.beats = None
        self.connections = set()

    def start_boot(self):
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0

    async def start(self):
        host, port = self.machine.host, self.machine.app_port
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        self.address = f"{host}:{port}"
        self.beats = asyncio.create_task(self.beat())
        return self

    def exit(self):
        """Ends the backend and what it runs."""
        self.record(f"{self.id}: exits")
        self.beats.cancel()
        self.server.close()
        for writer, task in list(self.connections):
            task.cancel()
            writer.transport.abort()

    def heartbeat(self):
        """Returns the next heartbeat's body."""
        self.sequence += 1
        return json.dumps({"service": self.machine.service, "address": self.address, "zone": self.machine.zone,
                           "version": "v1", "slots": self.slots, "state": self.state, "coldRemaining": "0ms",
                           "sequence": self.sequence, "born": self.born}).encode()

    async def send(self, method, body):
        """Sends a heartbeat or a farewell to the daemon on the machine; returns the answer's status, if any."""
        headers = [("Host", self.machine.listen["control"]), ("Content-Type", "application/json")]
        path = f"/sardinestall/instances/{self.id}"
        try:
            return (await call(self.machine.listen["control"], method, path, headers, body, 1.0)).status
        except (Broken, OSError, asyncio.TimeoutError):
            return None

    async def beat(self):
        while True:
            await self.send("PUT", self.heartbeat())
            await asyncio.sleep(1.5)

    def answer(self, id, status, headers=(), body=b"", signed=True):
        all_headers = [("Request-Id", id)] + list(headers)
        if signed:
            all_headers.append(("Response-Signature", f"{self.id}.{id}.{len(body)}"))
        return message(f"HTTP/1.1 {status} X", all_headers, body)

    async def serve(self, reader, writer):
        connection = random.getrandbits(32)
        entry = (writer, asyncio.current_task())
        self.connections.add(entry)
        try:
            while (head := await read_head(reader)) is not None:
                start, headers = head
                method, path, _ = start.split(" ")
                if path == "/healthz":
                    writer.write(message("HTTP/1.1 200 X", [("Instance-Id", self.id)]))
                    continue
                id = headers.get("request-id", "")
                arrived = time.monotonic()
                try:
                    body = await read_body(reader, headers)
                except Broken as error:
                    self.record(f"{self.id}: request {id} breaks off and is not run ({error})")
                    raise
                expected = headers.get("expect-instance")
                if expected not in (None, self.id):
                    writer.write(self.answer(id, 421, [("Instance-Id", self.id)], signed=False))
                    continue
                await self.respond(writer, connection, id, method, path, headers, body, arrived)
                await writer.drain()
        except (Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(entry)
            writer.close()

    async def respond(self, writer, connection, id, method, path, headers, body, arrived):
        if self.running >= self.slots:
            writer.write(self.answer(id, 503, [("Not-Executed", "1")], signed=False))
            self.record(f"{self.id}: request {id} rejected, full")
            return
        writer.write(await self.run(id, method, path, headers, body, arrived))

    async def run(self, id, method, path, headers, body, arrived):
        self.running += 1
        self.runs.append((id, time.monotonic(), method, path, body, arrived))
        self.record(f"{self.id}: request {id} runs ({method} {path}, {len(body)} bytes)")
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        return self.answer(id, 200, body=b"done " + id.encode())


def main(folder, play):
    """Runs `play(record, temporary folder)`, which returns the broken promises, and exits as a case script does."""
    sys.dont_write_bytecode = True
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                broken = asyncio.run(asyncio.wait_for(play(record, temporary), 110))
                for line in broken[:40]:
                    record(f"BROKEN: {line}")
                text = f"{len(broken)} times broken, with trouble {'on' if TROUBLE else 'off'}"
                record(text)
                print(text)
                code = 1 if broken else 0
            finally:
                Machine.end_all()
                if os.environ.get("KEEP_LOGS"):
                    for name in os.listdir(temporary):
                        with open(os.path.join(temporary, name)) as file:
                            open(os.path.join(os.environ["KEEP_LOGS"], name), "w").write(file.read())
    except (Impossible, asyncio.TimeoutError, OSError) as error:
        record(f"the case cannot run: {error!r}")
        print(f"the case cannot run: {error!r}")
    finally:
        record.close()
    sys.exit(code)
