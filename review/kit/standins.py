"""Stand-ins of the users' platform for the scripts of the review, as PROTOCOL.md and DEPLOY.md describe it.

The store, the servers, the callers and the links are coroutines of one process. The program under test runs as
processes of its own, with the command of deploy/system.toml and settings from deploy/node.yaml. All addresses are
loopback addresses.
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
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
STALL_S = 6.0
FORM_S = 0.3
REJOIN_S = 0.2
WARM_S = 0.4
LOAD_S = 1.0


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def note(self, text):
        print(f"{time.monotonic() - self.began:8.3f} {text}", file=self.file, flush=True)


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)


class Answer:
    """`body` is bytes, or an asynchronous iterator of chunks. One without a length ends with its connection."""

    def __init__(self, status, body=b"", headers=(), has_length=True):
        self.status, self.body, self.headers, self.has_length = status, body, dict(headers), has_length

    @classmethod
    def json(cls, status, value, headers=()):
        return cls(status, json.dumps(value).encode(), {"Content-Type": "application/json", **dict(headers)})


async def read_head(reader):
    """The start line and the headers, in lower case; None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


class HttpServer:
    """Serves one address; `handle` gives back an Answer, or None to close the connection."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        return self.server.sockets[0].getsockname()[:2]

    async def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                request = Request(method, target, head[1], await read_body(reader, head[1]))
                answer = await self.handle(request)
                if answer is None:
                    break
                await self.write(writer, answer)
                if not answer.has_length:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def write(self, writer, answer):
        whole = isinstance(answer.body, bytes)
        headers = dict(answer.headers)
        if not answer.has_length:
            headers["Connection"] = "close"
        else:
            headers["Content-Length" if whole else "Transfer-Encoding"] = str(len(answer.body)) if whole else "chunked"
        lines = [f"HTTP/1.1 {answer.status} status"] + [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines + ["", ""]).encode())
        if whole:
            writer.write(answer.body)
            await writer.drain()
            return
        try:
            async for chunk in answer.body:
                writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk) if answer.has_length else chunk)
                await writer.drain()
        finally:
            await answer.body.aclose()
        if answer.has_length:
            writer.write(b"0\r\n\r\n")
        await writer.drain()


class Store:
    """The platform's store: rows under conditions and a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Event()
        self.http = HttpServer(self.answer)
        self.address = None

    async def start(self):
        self.address = await self.http.listen()

    def write(self, table, key, value, part=""):
        """Writes a row, or drops it if `value` is None, in a transaction of its own."""
        self.version += 1
        self.apply((table, part, key), value)
        self.wake()

    def apply(self, name, value):
        if value is None:
            if self.rows.pop(name, None) is None:
                return
        else:
            self.rows[name] = (value, self.version)
        self.log.append((self.version, name, value))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def owners(self):
        """The fabric domains that the nodes have claimed, each with its owner row."""
        found = {}
        for (table, _, key), (value, _) in self.rows.items():
            if table not in ("op", "servers") and key.startswith("domain/"):
                found[key.removeprefix("domain/")] = json.loads(value)
        return found

    @staticmethod
    def row(name, value, version):
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if value is None:
            return row | {"deleted": True}
        return row | {"value": base64.b64encode(value).decode()}

    def reply(self, status, **fields):
        now = {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}
        return Answer.json(status, now | fields)

    async def answer(self, request):
        await asyncio.sleep(0.004)
        if request.path == "/standin/entry":
            # A server that is a process of its own writes its entry.
            self.write("servers", request.headers["server"], request.body)
            return Answer(200)
        if request.path == "/v1/rows-get":
            return self.read(request.query)
        if request.path == "/v1/rows-feed":
            return await self.feed(request.query)
        if request.path == "/v1/rows-tx":
            return self.transact(json.loads(request.body))
        return Answer(404)

    def read(self, query):
        table, part, limit = query["table"], query.get("part", ""), int(query.get("limit", 500))
        start = query.get("from", "").replace("%00", "\0").replace("%2F", "/")
        names = sorted(n for n in self.rows if n[0] == table and n[1] == part and n[2] >= start)
        rows = [self.row(name, *self.rows[name]) for name in names[:limit]]
        return self.reply(200, rows=rows, has_more=len(names) > limit)

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            changed = self.changed
            newest = {}
            for version, name, value in self.log:
                if version > after and name[0] == table:
                    newest[name] = (value, version)
            if newest or time.monotonic() >= until:
                rows = sorted((self.row(n, *change) for n, change in newest.items()), key=lambda row: row["ver"])
                return self.reply(200, rows=rows)
            try:
                await asyncio.wait_for(changed.wait(), until - time.monotonic())
            except TimeoutError:
                pass

    def transact(self, call):
        def name(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        expected = call.get("expected", [])
        written = call.get("puts", []) + call.get("delete", [])
        if any(name(entry)[0] in ("op", "servers") for entry in written):
            return Answer(403)
        if any(self.rows.get(name(entry), (None, 0))[1] != entry["ver"] for entry in expected):
            current = [self.row(name(e), *self.rows[name(e)]) for e in expected if name(e) in self.rows]
            return self.reply(412, rows=current)
        self.version += 1
        for entry in call.get("puts", []):
            self.apply(name(entry), base64.b64decode(entry["value"]))
        for entry in call.get("delete", []):
            self.apply(name(entry), None)
        self.wake()
        return self.reply(200)


class Link:
    """The way to a server. A cut link is that to a machine behind a partition: connections to it hang, and open ones
    deliver nothing."""

    def __init__(self, target):
        self.target = target
        self.listener = None
        self.address = None
        self.accepting = None
        self.is_cut = False
        self.open = asyncio.Event()
        self.open.set()
        self.fillers = []
        self.tasks = set()

    async def start(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        self.accepting = asyncio.create_task(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            self.spawn(self.join(connection))

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def join(self, connection):
        near_reader, near_writer = await asyncio.open_connection(sock=connection)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            near_writer.transport.abort()
            return
        ways = [self.copy(near_reader, far_writer), self.copy(far_reader, near_writer)]
        await asyncio.wait([self.spawn(way) for way in ways], return_when=asyncio.FIRST_COMPLETED)
        await self.open.wait()
        near_writer.close()
        far_writer.close()

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass

    def cut(self):
        """With a full queue of connections that nobody accepts, the first packet of a new one is dropped."""
        self.is_cut = True
        self.open.clear()
        self.accepting.cancel()
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def heal(self):
        self.is_cut = False
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.listen(64)
        self.open.set()
        self.accepting = asyncio.create_task(self.accept())


class RemoteStore:
    """The store for a server that is a process of its own."""

    def __init__(self, address):
        self.address = address
        self.tasks = set()

    def write(self, table, key, value):
        task = asyncio.create_task(call(self.address, "POST", "/standin/entry", {"server": key}, value))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class Park:
    """All servers, and the checks on what they see."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.servers = {}
        self.served = False
        self.starts = 0
        self.breaks = []
        self.runs = {}

    async def add(self, **fields):
        self.starts += 1
        server = Server(self, f"i-{self.starts:04d}", **fields)
        self.servers[server.id] = server
        await server.start()
        return server

    def broken(self, rule, text):
        self.breaks.append((rule, text))
        self.record.note(f"BROKEN {rule}: {text}")


class Server:
    """One life of a server: a model engine if it has a domain, else one of a plain service."""

    def __init__(self, park, id, service, domain=None, zone="z1", slots=8, work_s=0.06, events=12, event_s=0.05,
                 has_length=True):
        self.park, self.id, self.service, self.domain, self.zone = park, id, service, domain, zone
        self.slots, self.work_s, self.events, self.event_s = slots, work_s, events, event_s
        self.has_length = has_length
        self.born = int(time.time() * 1000)
        self.group = None
        self.staged = []
        self.last_model = None
        self.was_ready = set()
        self.fence = self.epoch = self.seq = self.running = 0
        self.lost_since = None
        # Requests that are preempted: after which event, and for how long.
        self.preempts = {}
        self.reaches_store = True
        self.lives = True
        self.http = HttpServer(self.answer)
        self.link = None
        self.tasks = []

    async def start(self):
        self.link = Link(await self.http.listen())
        await self.link.start()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.watch())]

    async def crash(self):
        """Its process ends; the store drops its entry after three heartbeat intervals of silence."""
        self.lives = False
        for task in self.tasks + [self.link.accepting]:
            task.cancel()
        self.link.listener.close()
        await self.http.close()
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.drop_entry)
        self.park.record.note(f"{self.id} crashes")

    def drop_entry(self):
        if not (self.lives and self.reaches_store):
            self.park.store.write("servers", self.id, None)
            self.park.record.note(f"the store drops the entry of {self.id}")

    def cut_from_store(self):
        self.reaches_store = False
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.drop_entry)

    def state(self):
        return self.group["state"] if self.group else None

    def describe(self):
        said = {"born": self.born, "seq": self.seq}
        if self.domain:
            said |= {"domain": self.domain, "staged": self.staged, "models": []}
            if self.group:
                said["models"] = [{"name": self.group["model"], "version": 1, "adapters": []}]
                said["group"] = {
                    "name": self.group["name"], "epoch": self.group["epoch"],
                    "rank": self.group["members"].index(self.id), "state": self.group["state"],
                }
        return said

    def show(self):
        """Writes its entry into the store."""
        if not (self.reaches_store and self.lives):
            return
        host, port = self.link.address
        entry = {
            "service": self.service, "address": f"{host}:{port}", "zone": self.zone, "version": "1",
            "slots": self.slots, "state": "ready", "cold_left_ms": 0, **self.describe(),
        }
        self.park.store.write("servers", self.id, json.dumps(entry).encode())

    async def beat(self):
        while True:
            self.show()
            await asyncio.sleep(HEARTBEAT_S)

    async def watch(self):
        """A head whose group has lost a member moves nothing, and is broken after a while."""
        while True:
            await asyncio.sleep(0.05)
            if self.state() not in ("open", "closing"):
                self.lost_since = None
            elif all(self.holds(member) for member in self.group["members"]):
                self.lost_since = None
            else:
                self.lost_since = self.lost_since or time.monotonic()
                if time.monotonic() - self.lost_since >= STALL_S:
                    self.group["state"] = "broken"
                    self.park.record.note(f"group {self.group['name']} of {self.id} is broken")
                    self.show()

    def holds(self, member):
        other = self.park.servers.get(member)
        return (
            other is not None and other.lives and other.group is not None
            and (other.group["name"], other.group["epoch"]) == (self.group["name"], self.group["epoch"])
            and (other is self or other.link.is_cut == self.link.is_cut)
        )

    async def answer(self, request):
        expected = request.headers.get("expect-instance")
        if expected not in (None, self.id):
            return Answer(421, headers={"Instance": self.id})
        if request.path == "/v1/report":
            report = {
                "stage": "both", "busy": False, "queued": 0, "running": self.running, "kv_used": 0,
                "kv_total": 1590000, "handles": 0, "pace": 1.0, **self.describe(),
            }
            return Answer.json(200, report)
        if request.path == "/v1/order":
            return Answer(self.follow(json.loads(request.body)))
        return await self.run(request)

    def follow(self, order):
        if order.get("fence", 0) < self.fence:
            return 412
        self.fence = order.get("fence", 0)
        op = order["op"]
        if op == "join":
            status = self.join(order)
        elif op == "stage":
            self.seq += 1
            asyncio.get_running_loop().call_later(self.load_s(), self.stage, order["model"])
            status = 202
        else:
            status = self.change(op, (order["group"], order["epoch"]))
        self.park.record.note(f"{self.id} gets {json.dumps(order)}: {status}")
        return status

    def load_s(self):
        return LOAD_S if self.park.served else LOAD_S / 10

    def stage(self, model):
        self.staged = [model]
        self.show()

    def join(self, order):
        key = (order["group"], order["epoch"])
        if order["epoch"] < self.epoch or self.id not in order["members"]:
            return 412
        if self.group and (self.group["name"], self.group["epoch"]) == key:
            return 200 if self.group["members"] == order["members"] else 412
        self.check_join(key)
        self.epoch = order["epoch"]
        self.seq += 1
        model = order["model"]
        time_s = REJOIN_S if self.last_model == model else WARM_S if model in self.staged else self.load_s()
        self.group = {
            "name": key[0], "epoch": key[1], "model": model, "members": order["members"], "state": "joining",
        }
        asyncio.get_running_loop().call_later(time_s, self.be_ready, key, model)
        self.show()
        return 202

    def check_join(self, key):
        """TWO: a server takes a join of another group while the head of its group is open, closing, or stands still
        and isn't yet broken."""
        if not self.group:
            return
        head = self.park.servers.get(self.group["members"][0])
        own = (self.group["name"], self.group["epoch"])
        if head and head.lives and head.group and (head.group["name"], head.group["epoch"]) == own:
            if head.state() in ("open", "closing"):
                self.park.broken(
                    "TWO", f"{self.id} is joined to {key[0]} while {own[0]}, which it has not left, is "
                    f"{head.state()} at its head {head.id}",
                )

    def be_ready(self, key, model):
        if self.group and (self.group["name"], self.group["epoch"]) == key and self.group["state"] == "joining":
            self.group["state"] = "ready"
            self.staged, self.last_model = [model], model
            self.was_ready.add(key)
            self.show()

    def change(self, op, key):
        if not self.group or (self.group["name"], self.group["epoch"]) != key:
            return 200 if op == "leave" else 409
        if op == "leave":
            self.group = None
        elif op == "open":
            if self.group["state"] == "open":
                return 200
            if self.group["state"] != "ready" or self.group["members"][0] != self.id:
                return 409
            asyncio.get_running_loop().call_later(FORM_S, self.be_open, key)
        else:
            if self.group["state"] not in ("open", "closing"):
                return 409
            self.group["state"] = "ready" if self.running == 0 else "closing"
        self.seq += 1
        self.show()
        return 202

    def be_open(self, key):
        if self.group and (self.group["name"], self.group["epoch"]) == key and self.group["state"] == "ready":
            self.group["state"] = "open"
            self.park.record.note(f"group {key[0]} of {self.group['members']} is open")
            self.show()

    async def run(self, request):
        id = request.headers.get("request-id")
        echo = {"Request-Id": id or "", "Server-Load": f"{self.running},0,{self.slots}"}
        if id is None:
            return Answer(400, headers={"Not-Run": "1"})
        if self.domain and self.state() != "open":
            return Answer(503, headers={**echo, "Not-Run": "1", "At-Server": self.id})
        if self.running >= self.slots:
            return Answer(503, headers={**echo, "Not-Run": "1"})
        self.park.served = True
        self.park.runs.setdefault(id, []).append(self.id)
        self.park.record.note(f"{self.id} runs {id}")
        seal = {**echo, "Server-Seal": f"seal.{self.id}.{id}"}
        if self.domain:
            first = int(request.headers.get("last-event-id", 0))
            seal["Content-Type"] = "text/event-stream"
            return Answer(200, self.stream(id, first), seal, self.has_length)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return Answer(200, f"{self.id} {id}".encode() + b"." * 700, seal)

    async def stream(self, id, last):
        self.running += 1
        try:
            for number in range(last + 1, self.events + 1):
                while self.state() == "open" and self.lost_since:
                    await asyncio.sleep(0.05)
                after, pause_s = self.preempts.get(id, (None, 0))
                if number - 1 == after:
                    self.park.record.note(f"{self.id} preempts {id} for {pause_s} s")
                    await asyncio.sleep(pause_s)
                await asyncio.sleep(self.event_s)
                self.park.record.note(f"{self.id} makes event {number} of {self.events} of {id}")
                yield b"id: %d\ndata: %s\n\n" % (number, b"x" * 50)
            self.park.record.note(f"{self.id} ends {id}")
        finally:
            self.running -= 1


class Node:
    """One machine of the system, with the process that the deploy file names."""

    def __init__(self, number, network, base_port, store, directory):
        self.name = f"front-{number}"
        self.ip = f"127.{network}.0.{number}"
        self.store, self.directory = store, Path(directory)
        self.ports = {name: base_port + i for i, name in enumerate(("peers", "front", "ready_addr", "directory"))}
        self.metrics_port = base_port + 9
        self.process = None
        self.starts = 0
        role = next(iter(tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].values()))
        self.command = role["run"].split()
        self.template = (ROOT / role["template"]).read_text()

    def settings(self, **changes):
        ip, ports = self.ip, self.ports
        fields = {
            "node": self.name, "ip": ip, "zone": "z1", "region": "r1",
            "port_range": [ports["peers"], ports["peers"] + 15],
            "listen": {name: f"{ip}:{ports[name]}" for name in ("front", "ready_addr", "directory")},
            "platform": {"address": "{}:{}".format(*self.store)},
            "bounds": {"retry_ratio": 0.2, "retry_slack": 260, "budget_window_s": 10},
            "bootstrap": self.starts == 0, "grace_s": 8,
        }
        fields["bounds"]["grace_s"] = 8
        fields |= changes

        def value(match):
            found = fields
            for word in match[1].split("."):
                found = found[int(word)] if isinstance(found, list) else found.get(word, "")
            return json.dumps(found) if match[2] or not isinstance(found, str) else found

        text = re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", value, self.template)
        return re.sub(r"(?m)^metrics_port:.*$", f"metrics_port: {self.metrics_port}", text)

    def write_settings(self, **changes):
        path = self.directory / f"{self.name}.yaml"
        new = path.with_suffix(".new")
        new.write_text(self.settings(**changes))
        new.rename(path)
        return path

    def start(self):
        path = self.write_settings()
        self.starts += 1
        log = open(self.directory / f"{self.name}-{self.starts}.log", "w")
        environment = {"PATH": os.environ["PATH"], "GYPSUMFORK_CONFIG": str(path)}
        self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def memory_mb(self):
        """Resident memory of its process; 0 if it has none."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024
        except (OSError, TypeError):
            return 0

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            if number == signal.SIGKILL:
                self.process.wait()

    @property
    def front(self):
        return self.ip, self.ports["front"]

    async def ready(self):
        """Whether it answers that it is ready."""
        try:
            return (await call((self.ip, self.ports["ready_addr"]), "GET", "/v1/readyz", limit_s=1)).status == 200
        except (OSError, TimeoutError):
            return False


class Reply:
    """What a caller saw: `status` is None if the connection ended without a whole head."""

    def __init__(self, status=None, headers=None, body=b"", is_whole=False):
        self.status, self.headers, self.body, self.is_whole = status, headers or {}, body, is_whole


async def call(address, method, target, headers=(), body=b"", limit_s=10.0):
    """One request over a new connection."""
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(*address)
        reply = Reply()
        try:
            sent = {"Host": "{}:{}".format(*address), "Content-Length": len(body), **dict(headers)}
            lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in sent.items()]
            writer.write("\r\n".join(lines + ["", ""]).encode() + body)
            head = await read_head(reader)
            if head is None:
                return reply
            reply.status, reply.headers = int(head[0].split()[1]), head[1]
            if "chunked" in head[1].get("transfer-encoding", ""):
                async for chunk in read_chunks(reader):
                    reply.body += chunk
            else:
                reply.body = await read_body(reader, head[1])
            reply.is_whole = True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()
        return reply


class KeptConnection:
    """A caller's connection that is used for many requests."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None
        self.used = 0

    async def request(self, method, target, headers, body):
        """Opens the connection if it is closed. Gives back the reply; one without a status if the connection ended
        without an answer."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
            self.used = 0
        reply = Reply()
        try:
            lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            self.writer.write("\r\n".join(lines + ["", ""]).encode() + body)
            head = await read_head(self.reader)
            if head is not None:
                reply.status, reply.headers = int(head[0].split()[1]), head[1]
                reply.body = await read_body(self.reader, head[1])
                reply.is_whole = True
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.used += 1
        if not reply.is_whole or reply.headers.get("connection") == "close":
            self.close()
        return reply

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


HOST = "calls.example"
KEY = "key-one"
MODEL = "model-a"


def configuration(version, group_size, timeout_ms=8000, **limits):
    """The operator's configuration: a streaming, an unsafe and a safe route."""
    def route(name, kind, service, timeout, attempts):
        return {
            "name": name, "hostname": HOST, "prefix": f"/{name}/", "route_type": kind, "service": service,
            "goal_ms": 300, "gap_goal_ms": 300, "priority": 1, "attempts": attempts, "public": False,
            "can_resume": kind == "streaming", "timeout_ms": timeout, "sticky": kind == "streaming",
        }

    engine = {
        "slots": 8, "loads_per_s": 4.5, "loads_at_once": 6,
        "models": [{"name": MODEL, "size": group_size, "share": 1.0, "pace": 1.0, "load_s": LOAD_S, "warm_s": WARM_S}],
    }
    return {
        "version": version,
        "routes": [
            route("note", "streaming", "pool", timeout_ms, 2),
            route("file", "unsafe", "returns", 800, 1),
            route("fetch", "safe", "returns", 800, 2),
        ],
        "services": [{"name": "pool", "engine": engine}, {"name": "returns"}],
        "tenants": [{"name": "tenant-one", "api_keys": [KEY]}],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000, **limits,
        },
    }


class Fleet:
    """A small deployment: the store, the servers and some machines with a process each."""

    def __init__(self, record, nodes):
        self.record = record
        self.directory = tempfile.TemporaryDirectory(prefix="review-")
        self.count = nodes
        self.nodes = []
        self.store = Store()
        self.park = Park(self.store, record)
        self.sent = 0
        self.names = {}

    async def start(self, config):
        await self.store.start()
        self.store.write("op", "config", json.dumps(config).encode())
        network, port = free_network(self.count)
        self.nodes = [
            Node(i + 1, network, port, self.store.address, self.directory.name) for i in range(self.count)
        ]
        for node in self.nodes:
            node.start()

    async def until(self, what, condition, limit_s):
        """Waits for a condition; without it the case couldn't run."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            met = condition()
            if await met if asyncio.iscoroutine(met) else met:
                self.record.note(what)
                return
            await asyncio.sleep(0.02)
        raise Unplayable(f"not within {limit_s} s: {what}")

    async def serves(self, events=12):
        """Waits until all nodes are ready and a streamed request is served by each."""
        for node in self.nodes:
            await self.until(f"{node.name} is ready", node.ready, 15)
        for node in self.nodes:
            await self.until(f"{node.name} serves", lambda node=node: self.is_served(node, events), 20)

    async def is_served(self, node, events=12):
        _, reply = await self.request(node)
        return self.is_good("note", reply, events)

    def head(self, name, deadline_ms, more=()):
        """The id of a new request, and its headers."""
        self.sent += 1
        id = f"r{self.sent:05d}"
        self.names[id] = name
        headers = {
            "Host": HOST, "Request-Id": id, "Deadline-Ms": deadline_ms, "Authorization": f"Bearer {KEY}", **dict(more),
        }
        if name == "note":
            headers |= {"Model": MODEL, "Token-Count": "700,84", "Prompt-Prefix": f"5c1e07a2:40,{self.sent:08x}:660"}
        return id, headers

    async def request(self, node, name="note", deadline_ms=5000, body=b"{}", more=(), head=None):
        id, headers = head or self.head(name, deadline_ms, more)
        method = "GET" if name == "fetch" else "POST"
        self.record.note(f"{id} {name} is sent to {node.name}")
        try:
            reply = await call(node.front, method, f"/{name}/2f", headers, body, deadline_ms / 1000 + 1)
        except (OSError, TimeoutError) as error:
            self.record.note(f"{id} gets no answer: {type(error).__name__}")
            return id, Reply()
        whole = "whole" if reply.is_whole else "cut"
        self.record.note(f"{id} gets {reply.status}, {whole}, {reply.body[:40] if reply.status != 200 else ''}")
        return id, reply

    def is_good(self, name, reply, events=12):
        if reply.status != 200 or not reply.is_whole or "server-seal" not in reply.headers:
            return False
        if name != "note":
            return True
        ids = [int(number) for number in re.findall(rb"(?m)^id: (\d+)$", reply.body)]
        return ids == list(range(1, len(ids) + 1)) and len(ids) == events

    def stop(self):
        for node in self.nodes:
            node.kill()
        if os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", self.directory.name, os.environ["KEEP_LOGS"]], check=False)
        self.directory.cleanup()


class Unplayable(Exception):
    """The case couldn't run."""


def free_network(count):
    """A loopback network and ports that nobody uses."""
    for _ in range(200):
        network, port = random.randint(64, 120), random.randint(18000, 30000)
        probes = []
        try:
            for number in range(1, count + 1):
                for offset in range(16):
                    probe = socket.socket()
                    probes.append(probe)
                    probe.bind((f"127.{network}.0.{number}", port + offset))
            return network, port
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise Unplayable("no free network")


def play(case, folder, nodes):
    """Runs `case(fleet, trouble)`, which gives back whether the rule held, and exits with 0, 1 or 2."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"with{'' if trouble else 'out'} the disruption")

    async def run():
        fleet = Fleet(record, nodes)
        try:
            async with asyncio.timeout(110):
                return await case(fleet, trouble)
        finally:
            fleet.stop()

    try:
        loop = asyncio.new_event_loop()
        held = loop.run_until_complete(run())
    except (Unplayable, OSError, TimeoutError) as error:
        end(record, f"could not run: {type(error).__name__} {error}", 2)
    end(record, "the rule held" if held else "the rule was broken", 0 if held else 1)


def end(record, text, status):
    record.note(text)
    print(text, flush=True)
    # Tasks that still wait for something are dropped with the process.
    os._exit(status)
