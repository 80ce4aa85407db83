"""Stand-ins for the platform, databases, operator and clients, and the processes under test.

Used by the scripts review/11 to review/15. Everything runs on loopback addresses of one network
127.A.B.x that is drawn for each run. Only the Python standard library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/src/oleanderledge/cli/oleanderledge")
HEARTBEAT_S = 1.2
LAG_S = 0.02


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Events in the order in which the stand-ins saw them, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, who, what):
        self.file.write(f"{self.now():9.3f} {who} {what}\n")

    def say(self, text):
        self.add("summary", text)
        self.file.flush()
        print(text, flush=True)


# --- HTTP ----------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def http_call(address, method, path, body=b"", timeout=1.0):
    """Returns status, headers and body, or None without a response."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def call():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        text = (
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(text.encode() + body)
        line, headers, answer = await read_message(reader)
        return int(line.split()[1]), headers, answer

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def follow(address, method, path, body=b"", timeout=1.0):
    """A call that follows a 307 twice."""
    answer = None
    for _ in range(3):
        answer = await http_call(address, method, path, body, timeout)
        if answer is None or answer[0] != 307:
            return answer
        target = answer[1]["location"].split("//", 1)[1]
        address, path = target.split("/", 1)
        path = "/" + path
    return answer


# --- databases -----------------------------------------------------------------------------------


class Service:
    """A primary and its replicas. Commits have the numbers 1, 2, ... and the term of their leader."""

    def __init__(self, name, record, connection_limit=28, sync_replicas=0):
        self.name = name
        self.record = record
        self.connection_limit = connection_limit
        self.sync_replicas = sync_replicas
        self.on_promote = None
        self.term = 1
        self.leader = None
        self.databases = {}

    def promote(self, database):
        """The named database leads the next term with what it has received."""
        if self.leader is database or not database.runs:
            return
        if self.on_promote is not None:
            self.on_promote(database)
        self.term += 1
        database.term = self.term
        self.leader = database
        for other in self.databases.values():
            if other is database:
                continue
            same = 0
            while (
                same < min(len(other.log), len(database.log))
                and other.log[same] == database.log[same]
            ):
                same += 1
            del other.log[same:]
            other.schedule_receive()
        self.record.add("platform", f"leader service={self.name} term={self.term} id={database.id}")
        for other in self.databases.values():
            other.beat_soon()


class Database:
    """The wire protocol, the log, heartbeats, and answers that are lost."""

    def __init__(self, service, database_id, zone, address, controls, record, receive_s=LAG_S):
        self.service = service
        self.id = database_id
        self.zone = zone
        self.address = address
        self.controls = controls
        self.record = record
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_drain_acknowledged = False
        self.log = []
        self.term = 1
        self.runs = False
        self.on_run = None
        self.receive_s = receive_s
        self.received = asyncio.Event()
        self.connections = set()
        self.lose_share = 0.0
        self.lost = 0
        self.refused = 0
        self.signatures = 0
        self.server = None
        self.task = None
        self.wake = asyncio.Event()
        self.beat_address = None
        self.random = random.Random(database_id)
        service.databases[database_id] = self

    @property
    def is_leader(self):
        return self.service.leader is self

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.runs = True
        self.task = asyncio.ensure_future(self.beat())

    def crash(self):
        """Ends at once and sends nothing."""
        self.record.add(self.id, "crashes")
        self.stop()

    async def start_again(self, keeps_log):
        """Starts under the same id. A replica knows nothing of before, a primary has its log."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beat_address = None
        if not keeps_log:
            self.log = []
            self.term = 1
        await self.start()
        self.record.add(self.id, f"starts again with {len(self.log)} commits")
        self.schedule_receive()

    def stop(self):
        self.runs = False
        self.task.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def position(self):
        if not self.log:
            return f"{self.term if self.is_leader else 1}.0"
        return f"{self.term if self.is_leader else self.log[-1][0]}.{len(self.log)}"

    def schedule_receive(self):
        leader = self.service.leader
        sent = leader.log[len(self.log):] if leader is not None and leader.runs else []
        start, born = len(self.log), self.born
        if self.runs and leader is not self and sent:
            asyncio.get_running_loop().call_later(
                self.receive_s, self.receive, leader, start, sent, born)

    def receive(self, leader, start, sent, born):
        """Commits that the leader sent arrive, unless one of the two has ended meanwhile."""
        if not (self.runs and self.born == born and leader.runs and self.service.leader is leader):
            return
        if start <= len(self.log) <= start + len(sent):
            self.log.extend(sent[len(self.log) - start:])
            leader.received.set()

    async def commit(self, statement):
        self.log.append((self.term, statement))
        number = len(self.log)
        others = [each for each in self.service.databases.values() if each is not self]
        for other in others:
            other.schedule_receive()
        while sum(len(each.log) >= number for each in others) < self.service.sync_replicas:
            self.received.clear()
            await self.received.wait()

    # Heartbeats

    def beat_soon(self):
        self.wake.set()

    async def beat(self):
        while True:
            self.wake.clear()
            self.sequence += 1
            body = json.dumps(
                {
                    "service": self.service.name,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "capacity": 4,
                    "state": self.state,
                    "warmup_remaining_ms": 0,
                    "database_role": "primary" if self.is_leader else "replica",
                    "sequence": self.sequence,
                    "born": self.born,
                }
            ).encode()
            nodes = random.sample(self.controls, len(self.controls))
            if self.beat_address is not None:
                nodes.insert(0, self.beat_address)
            for node in nodes:
                answer = await follow(node, "PUT", f"/api/instances/{self.id}", body)
                if answer is not None and 200 <= answer[0] < 300:
                    self.is_drain_acknowledged = b'"draining"' in body
                    try:
                        self.beat_address = json.loads(answer[2])["heartbeat_address"]
                    except (ValueError, KeyError, TypeError):
                        self.beat_address = None
                    break
                self.beat_address = None
            try:
                await asyncio.wait_for(self.wake.wait(), HEARTBEAT_S)
            except asyncio.TimeoutError:
                pass

    # The wire

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await self.serve_connection(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            # A connection that is closed rolls back.
            self.connections.discard(writer)
            writer.close()

    async def serve_connection(self, reader, writer):
        line = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n").split(" ")
        if line[0] != "STARTUP":
            return
        error = None
        if line[1] != self.service.name or (len(line) > 3 and line[3] != self.id):
            error = "MISROUTED"
        elif len(self.connections) > self.service.connection_limit:
            error = "OVERLOAD"
            self.refused += 1
            self.record.add(self.id, f"refuses a connection of {line[2]}: the limit is reached")
        if error is not None:
            writer.write(f"ERROR {error} {self.id}\r\n".encode())
            return
        await asyncio.sleep(0.012)
        writer.write(f"READY I {self.position()}\r\n".encode())
        state = {"tx": None, "prepared": {}}
        while True:
            line = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
            word, _, rest = line.partition(" ")
            if word == "TERMINATE":
                return
            if word != "QUERY":
                continue
            statement, _, text = rest.partition(" ")
            answer = await self.run(state, statement, text)
            if self.loses_answer(text):
                self.lost += 1
                self.record.add(self.id, f"answer lost id={statement} text={text}")
                continue
            writer.write(answer.encode())

    def loses_answer(self, text):
        """Only the answers of requests that it ran are lost."""
        runs = text.startswith(("READ", "WRITE", "EXECUTE", "COMMIT", "AWAIT"))
        return runs and self.random.random() < self.lose_share

    async def run(self, state, statement, text):
        """Runs a statement and returns the answer."""
        words = text.split(" ")
        if words[0] == "AWAIT":
            required = int(words[1].split(".")[1])
            if required > len(self.log):
                return self.answer(state, error="LAGGING")
            words = words[2:]
        verb = words[0]
        tx = state["tx"]
        if verb == "ROLLBACK":
            state["tx"] = None
            return self.answer(state)
        if tx is not None and tx["failed"]:
            return self.answer(state, error="MALFORMED")
        if verb == "STATUS":
            role = "primary" if self.is_leader else "replica"
            row = f"{role} {self.term} {self.position()} 0 0 0 {len(self.connections)}"
            return self.answer(state, rows=[row], signature="-")
        if verb in ("SET", "DEALLOCATE", "DISCARD"):
            if verb == "DISCARD":
                state["prepared"].clear()
            return self.answer(state, signature="-")
        if verb == "PREPARE":
            state["prepared"][words[1]] = words[2]
            return self.answer(state, signature="-")
        is_plain_tx = tx is not None and not tx["read"]
        if is_plain_tx and not self.is_leader and not (verb == "COMMIT" and not tx["writes"]):
            return self.answer(state, error="READONLY")
        if verb == "BEGIN":
            reads = words[1:] == ["READ"]
            if not reads and not self.is_leader:
                return self.answer(state, error="READONLY")
            state["tx"] = {"read": reads, "failed": False, "writes": []}
            return self.answer(state, signature="-")
        await asyncio.sleep(0.002)
        if verb == "EXECUTE":
            if words[1] not in state["prepared"]:
                return self.answer(state, error="NOSTMT")
            verb = state["prepared"][words[1]]
        self.record.add(self.id, f"runs id={statement} text={text}")
        if self.on_run is not None:
            self.on_run(self, statement)
        if verb == "COMMIT":
            if tx is not None and tx["writes"]:
                await self.commit(statement)
            state["tx"] = None
        elif verb == "WRITE":
            if not self.is_leader:
                return self.answer(state, error="READONLY")
            if tx is None:
                await self.commit(statement)
            else:
                tx["writes"].append(statement)
        rows = ["row-of-" + words[1]] if verb == "READ" else []
        self.signatures += 1
        return self.answer(state, rows=rows, signature=f"{self.id}.{self.signatures}.{statement}")

    def answer(self, state, rows=(), signature="-", error=None):
        if error is not None:
            if state["tx"] is not None:
                state["tx"]["failed"] = True
            text = f"ERROR {error} {self.id}\r\n"
        else:
            text = "".join(f"DATAROW {row}\r\n" for row in rows) + f"COMPLETE {signature}\r\n"
        tx = state["tx"]
        letter = "I" if tx is None else ("E" if tx["failed"] else "T")
        return text + f"READY {letter} {self.position()}\r\n"


class Platform:
    """POST /promotion with the check of fences."""

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.services = {}
        self.fences = {}

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                status = self.handle(line, headers, body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    "Content-Length: 2\r\n\r\n{}".encode()
                )
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def handle(self, line, headers, body):
        call = json.loads(body)
        service = self.services[call["service"]]
        fence = int(headers["oleanderledge-fencing-token"])
        holder = headers["oleanderledge-lease-holder"]
        database = service.databases.get(call["instance_id"])
        status = 200
        if fence < self.fences.get(service.name, 0) or database is None or not database.runs:
            status = 409
        else:
            self.fences[service.name] = fence
            asyncio.get_running_loop().call_later(0.3, service.promote, database)
        self.record.add(
            "platform",
            f"{line} service={service.name} id={call['instance_id']} holder={holder} "
            f"fence={fence} status={status}",
        )
        return status


# --- the processes under test --------------------------------------------------------------------


class Fleet:
    """Control instances and proxies, each at its own loopback address."""

    def __init__(self, record, controls=3, proxies=2, registration_ms=1200):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the program of the deploy file is not built")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="oleanderledge-review-")
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.ports = self.free_ports(6)
        self.processes = {}
        self.commands = {}
        self.control_names = [f"control-{index + 1}" for index in range(controls)]
        self.proxy_names = [f"proxy-{index + 1}" for index in range(proxies)]
        self.ips = {name: f"{self.net}.{10 + i}" for i, name in enumerate(self.control_names)}
        self.ips.update({name: f"{self.net}.{40 + i}" for i, name in enumerate(self.proxy_names)})
        self.control_plane = [f"{self.ips[name]}:{self.ports[2]}" for name in self.control_names]
        self.callers = [f"{self.ips[name]}:{self.ports[3]}" for name in self.proxy_names]
        self.readiness = [f"{self.ips[name]}:{self.ports[4]}" for name in self.proxy_names]
        self.platform = Platform(f"{self.net}.200:{self.ports[5]}", record)
        common = "fleet:\n  seeds: " + json.dumps(self.control_plane[:3])
        common += '\n  zones:\n    - {name: "near", region: "east"}\n'
        common += '    - {name: "far", region: "west"}\n'
        for name in self.control_names:
            text = self.head(self.ips[name], self.ips[name])
            text += f'data_folder: "{self.folder}/{name}"\n' + common
            text += f'  node_name: "{name}"\n'
            text += f'  control_plane: "{self.ips[name]}:{self.ports[2]}"\n'
            text += f'  promotion: "{self.platform.address}"\n'
            text += f"  registration_interval_ms: {registration_ms}\n"
            text += f"  tolerated_losses: {(controls - 1) // 2}\n"
            text += "  may_found_group: true\n  stop_limit_ms: 5000\n"
            self.add(name, "control", text)
        for name in self.proxy_names:
            text = self.head(name, self.ips[name])
            text += f'  callers: "{self.ips[name]}:{self.ports[3]}"\n' + common
            text += f'  node_name: "{name}"\n'
            text += f'  readiness: "{self.ips[name]}:{self.ports[4]}"\n'
            text += "  stop_limit_ms: 5500\n  backend_drain_ms: 7000\n"
            self.add(name, "proxy", text)

    def free_ports(self, count):
        ports = []
        while len(ports) < count:
            port = random.randint(20000, 30000)
            if port in ports:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind(("0.0.0.0", port))
                except OSError:
                    continue
            ports.append(port)
        return ports

    def head(self, instance, ip):
        return (
            f'instance: "{instance}"\nzone: "east/near"\nlisten:\n'
            f'  link: "{ip}:{self.ports[0]}"\n  http: "{ip}:{self.ports[1]}"\n'
        )

    def add(self, name, subcommand, settings):
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        self.commands[name] = (subcommand, path)

    def database_address(self, index):
        return f"{self.net}.{100 + index}:{self.ports[5]}"

    async def start(self, name):
        subcommand, path = self.commands[name]
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            PROGRAM, subcommand, stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/", "OLEANDERLEDGE_CONFIG": path},
        )
        self.record.add(name, "started")

    async def start_all(self):
        await self.platform.start()
        for name in self.commands:
            await self.start(name)

    async def kill(self, name):
        self.processes[name].send_signal(signal.SIGKILL)
        await self.processes[name].wait()
        self.record.add(name, "killed")

    def ended(self):
        return [name for name, each in self.processes.items() if each.returncode is not None]

    async def stop(self):
        for each in self.processes.values():
            if each.returncode is None:
                each.send_signal(signal.SIGCONT)
                each.kill()
        for each in self.processes.values():
            await each.wait()
        if os.environ.get("KEEP"):
            print("logs: " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def configure(self, configuration, timeout=10.0):
        """Sends a configuration until it is acknowledged; returns the status."""
        body = json.dumps(configuration).encode()
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            address = random.choice(self.control_plane)
            answer = await follow(address, "PUT", "/api/configuration", body)
            if answer is not None and answer[0] < 500:
                self.record.add("operator", f"version={configuration['version']} {answer[0]}")
                return answer[0]
            await asyncio.sleep(0.1)
        return None

    async def wait_ready(self, timeout=15.0):
        end = time.monotonic() + timeout
        for address in self.readiness:
            while True:
                answer = await http_call(address, "GET", "/api/readiness")
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun("a proxy is not ready")
                await asyncio.sleep(0.1)


def route(host, service, kind="primary", timeout_ms=800, target_ms=400, staleness_ms=0):
    row = {
        "name": "r-" + host, "host": host, "path_prefix": "/", "route_kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 0,
        "service": service, "max_attempts": 2,
    }
    if staleness_ms:
        row["max_staleness_ms"] = staleness_ms
    return row


def configuration(version, routes, services, connection_limit=28, sync_replicas=0):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name, "health_path": "/health", "connection_limit": connection_limit,
                "protocol": "h1", "tls_enabled": False, "sync_replicas": sync_replicas,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000, "transaction_idle_ms": 3000,
        },
    }


# --- clients -------------------------------------------------------------------------------------


class Session:
    """A session of a client. Each call returns (outcome, fields): COMPLETE or an error code."""

    def __init__(self, address, record, name="client"):
        self.address = address
        self.record = record
        self.name = name
        self.reader = None
        self.writer = None
        self.position = "-"
        self.state = "I"

    async def open(self, host, timeout=2.0):
        ip, port = self.address.rsplit(":", 1)
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(ip, int(port)), timeout
            )
            self.writer.write(f"STARTUP {host} {self.name}\r\n".encode())
            line = await asyncio.wait_for(self.line(), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return False
        return line.startswith("READY")

    async def line(self):
        return (await self.reader.readuntil(b"\r\n")).decode().rstrip("\r\n")

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def query(self, text, timeout=4.0, statement=None):
        """Returns (outcome, rows, id). Outcomes: OK, an error code, BROKEN or NO-ANSWER."""
        statement = statement or f"{random.getrandbits(64):016x}"
        self.record.add(self.name, f"sends id={statement} text={text}")
        outcome, rows = "BROKEN", []
        try:
            self.writer.write(f"QUERY {statement} {text}\r\n".encode())
            outcome, rows = await asyncio.wait_for(self.read_answer(), timeout)
        except asyncio.TimeoutError:
            outcome = "NO-ANSWER"
            self.close()
        except (OSError, asyncio.IncompleteReadError, AttributeError):
            self.close()
        self.record.add(self.name, f"gets id={statement} {outcome}")
        return outcome, rows, statement

    async def read_answer(self):
        outcome, rows = None, []
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                outcome = "OK"
            elif word == "ERROR":
                outcome = rest.split(" ")[0]
            elif word == "READY":
                self.state, self.position = rest.split(" ")[:2]
                return outcome, rows


def run(case, folder):
    """Runs `case(record, trouble)`, which returns whether the rule held; exits with its result."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except CannotRun as error:
        record.say(f"could not run: {error}")
        sys.exit(2)
    except asyncio.TimeoutError:
        record.say("could not run: the time is over")
        sys.exit(2)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
