"""Stand-ins for databases, the platform, the operator and clients, as the platform's pages say."""

import asyncio
import hashlib
import itertools
import json
import random
import time

ids = itertools.count(1)


# --- HTTP -----------------------------------------------------------------------------------------

async def http_call(address, method, path, body=b"", timeout=1.0):
    """One call; returns (status, headers, body), or None without a whole response."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = (f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n")
            writer.write(head.encode() + body)
            status = int((await reader.readline()).split()[1])
            headers = {}
            while line := (await reader.readline()).strip():
                key, _, value = line.decode().partition(":")
                headers[key.lower()] = value.strip()
            content = await reader.readexactly(int(headers.get("content-length", 0)))
            return status, headers, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


async def control_call(addresses, method, path, body=b""):
    """Calls the control plane: follows two redirects; None, a 5xx, 408 or 429 is no answer."""
    address, result = random.choice(addresses), None
    for _ in range(3):
        result = await http_call(address, method, path, body)
        if result is None or result[0] != 307:
            break
        target = result[1]["location"].removeprefix("http://")
        address, _, rest = target.partition("/")
        path = "/" + rest
    return None if result is None or result[0] in (307, 408, 429) or result[0] >= 500 else result


async def configure(record, addresses, configuration):
    """The operator: sends the configuration until it is acknowledged."""
    body = json.dumps(configuration).encode()
    for _ in range(180):
        answer = await control_call(addresses, "PUT", "/api/configuration", body)
        if answer and answer[0] == 200:
            record.add("operator", f"configuration {configuration['version']} acknowledged")
            return True
        await asyncio.sleep(0.2)
    return False


# --- Databases ------------------------------------------------------------------------------------

class Commit:
    def __init__(self, term, number, writes, statement_id):
        self.term, self.number = term, number
        self.writes, self.statement_id = writes, statement_id


class Service:
    """The databases of a service: one primary and its replicas."""

    def __init__(self, record, name, sync_replicas=0, connection_limit=28, slots=2):
        self.record, self.name, self.sync_replicas = record, name, sync_replicas
        self.connection_limit, self.slots = connection_limit, slots
        self.servers, self.primary, self.term = {}, None, 1
        self.term_of = {}  # Text of a committed write -> term of its commit
        self.highest_fence = 0
        self.promotions = []  # (name, holder, fence, time)
        self.on_promoted = None

    async def promote(self, name):
        """The named database leads the next term with what it has received, and nothing more."""
        chosen = self.servers[name]
        old = self.primary
        self.term += 1
        self.primary = name
        held = {text for each in chosen.log for text in each.writes}
        for server in self.servers.values():
            if server is chosen:
                continue
            common = 0
            while (common < min(len(server.log), len(chosen.log)) and
                   server.log[common] is chosen.log[common]):
                common += 1
            if common < len(server.log):
                self.record.add(server.name, f"rolled back {len(server.log) - common} commits")
                del server.log[common:]
            server.receive_from(chosen)
        self.record.add(name, f"leads term {self.term} with {len(chosen.log)} commits, after {old}")
        if old in self.servers:
            self.servers[old].fail_pending_commits()
        chosen.beat_now.set()
        if old in self.servers:
            self.servers[old].beat_now.set()
        if self.on_promoted:
            self.on_promoted(name, held, self.term)


class Server:
    """One database."""

    def __init__(self, service, name, work_s=0.01, replication_s=None, distance_s=0.0):
        self.service, self.name, self.record = service, name, service.record
        self.work_s = work_s if callable(work_s) else lambda text: work_s
        # Delay of the log on its way from the primary, and one-way delay to all callers.
        self.replication_s = replication_s or (lambda: 0.001)
        self.distance_s = distance_s
        self.log, self.state, self.is_running = [], "ready", False
        self.is_deaf, self.connections, self.sequence = False, set(), 0
        self.received_event = asyncio.Event()
        self.beat_now = asyncio.Event()
        self.pending_commits = set()
        self.drain_acknowledged = asyncio.Event()
        self.slots = asyncio.Semaphore(service.slots)
        self.runs = []
        self.feed = None
        self.status_calls = 0
        self.awake = asyncio.Event()
        self.awake.set()
        self.server = self.tasks = None
        service.servers[name] = self

    # Life

    async def start(self, controls, zone="sf-workshop"):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.born, self.is_running = int(time.time() * 1000), True
        self.controls, self.zone = controls, zone
        self.tasks = [asyncio.create_task(self.beat())]

    def crash(self):
        self.record.add(self.name, "crashes")
        self.is_running = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def go_dark(self, seconds):
        """Answers nothing and sends nothing for a while."""
        self.record.add(self.name, f"is silent for {seconds:.2f} s")
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.awake.set()
        self.record.add(self.name, "answers again")

    async def beat(self):
        target = None
        while self.is_running:
            await self.awake.wait()
            self.beat_now.clear()
            self.sequence += 1
            state = self.state
            body = json.dumps({
                "service": self.service.name, "address": self.address, "zone": self.zone,
                "version": "v1", "capacity": self.service.slots, "state": state,
                "warmup_remaining_ms": 0, "database_role": self.role(),
                "sequence": self.sequence, "born": self.born}).encode()
            answer = None
            for _ in range(4):
                answer = await control_call([target] if target else self.controls, "PUT",
                                            "/api/instances/" + self.name, body)
                if answer and answer[0] < 300:
                    break
                target = None
                await asyncio.sleep(0.1)
            if answer and answer[0] < 300:
                target = json.loads(answer[2] or b"{}").get("heartbeat_address") or None
                if state == "draining" and not self.drain_acknowledged.is_set():
                    self.record.add(self.name, "draining acknowledged")
                    self.drain_acknowledged.set()
            try:
                async with asyncio.timeout(1.2):
                    await self.beat_now.wait()
            except TimeoutError:
                pass

    def drain(self):
        self.record.add(self.name, "reports draining")
        self.state = "draining"
        self.beat_now.set()

    def role(self):
        return "primary" if self.service.primary == self.name else "replica"

    # Log

    def receive_from(self, primary):
        """Receives the log of the primary in order, each commit after the replication delay."""
        if self.feed:
            self.feed.cancel()
        self.feed = asyncio.create_task(self.follow(primary))

    async def follow(self, primary):
        position, due = len(self.log), 0.0
        while True:
            while position < len(primary.log):
                commit = primary.log[position]
                due = max(due, commit.at + self.replication_s())
                wait = due - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                while self.is_deaf or not self.is_running:
                    await asyncio.sleep(0.01)
                if not primary.is_running or self.service.primary != primary.name:
                    return
                self.log.append(commit)
                position += 1
                if not commit.received.is_set():
                    commit.way_back_s = self.replication_s()
                    commit.received.set()
            primary.received_event.clear()
            await primary.received_event.wait()

    def position(self):
        last = self.log[-1] if self.log else None
        return f"{last.term}.{last.number}" if last else f"{self.service.term}.0"

    def holds(self, text):
        term, number = (int(each) for each in text.split("."))
        last = self.log[-1] if self.log else None
        mine = (last.term, last.number) if last else (self.service.term, 0)
        return mine >= (term, number)

    def fail_pending_commits(self):
        for writer in list(self.pending_commits):
            writer.transport.abort()

    async def commit(self, writer, writes, statement_id):
        """Returns False if the database lost the lead before the commit was confirmed."""
        commit = Commit(self.service.term, len(self.log) + 1, writes, statement_id)
        commit.at, commit.received = time.monotonic(), asyncio.Event()
        self.log.append(commit)
        for each in writes:
            self.service.term_of[each] = commit.term
        self.received_event.set()
        if self.service.sync_replicas:
            self.pending_commits.add(writer)
            await commit.received.wait()
            await asyncio.sleep(commit.way_back_s)
            self.pending_commits.discard(writer)
        return self.service.primary == self.name

    # Wire

    async def serve(self, reader, writer):
        self.connections.add(writer)
        session = {"in_tx": False, "failed": False, "read_only": False, "writes": [],
                   "settings": {}, "prepared": {}}
        try:
            if self.distance_s:
                await asyncio.sleep(self.distance_s * 3)  # Handshake of TCP, way of the STARTUP.
            await self.awake.wait()
            word, _, rest = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n").partition(" ")
            fields = rest.split(" ")
            wrong = word != "STARTUP" or fields[0] != self.service.name or \
                (len(fields) > 2 and fields[2] != self.name)
            if wrong or len(self.connections) > self.service.connection_limit:
                writer.write(b"ERROR MISROUTED -\r\n" if wrong else b"ERROR OVERLOAD -\r\n")
                return
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
                if self.distance_s:
                    await asyncio.sleep(self.distance_s * 2)  # Way back of READY, and the request.
                await self.awake.wait()
                if line == "TERMINATE":
                    return
                _, statement_id, text = line.split(" ", 2)
                rows, outcome = await self.run(writer, session, statement_id, text)
                state = "E" if session["failed"] else "T" if session["in_tx"] else "I"
                writer.write((rows + outcome + f"READY {state} {self.position()}\r\n").encode())
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            self.pending_commits.discard(writer)
            writer.close()

    def signature(self, statement_id, rows=""):
        return hashlib.sha256(f"{self.name} {statement_id} {rows}".encode()).hexdigest()[:16]

    async def run(self, writer, session, statement_id, text):
        def error(code):
            session["failed"] = session["in_tx"]
            return "", f"ERROR {code} {self.name}\r\n"

        words = text.split(" ")
        if words[0] == "AWAIT":
            if not self.holds(words[1]):
                return error("LAGGING")
            words = words[2:]
        verb = words[0]
        if verb == "STATUS":
            self.status_calls += 1
            return (f"DATAROW {self.role()} {self.service.term} {self.position()} 0 0 0 "
                    f"{len(self.connections)}\r\n"), "COMPLETE -\r\n"
        if verb == "ROLLBACK":
            session.update(in_tx=False, failed=False, writes=[])
            return "", "COMPLETE -\r\n"
        if session["failed"]:
            return error("MALFORMED")
        lost_lead = session["in_tx"] and not session["read_only"] and self.role() != "primary"
        if lost_lead and not (verb == "COMMIT" and not session["writes"]):
            return error("READONLY")
        if verb == "BEGIN":
            if words[1:] != ["READ"] and self.role() != "primary":
                return error("READONLY")
            session.update(in_tx=True, read_only=words[1:] == ["READ"], writes=[])
            return "", "COMPLETE -\r\n"
        if verb in ("SET", "PREPARE", "DEALLOCATE", "DISCARD"):
            if verb == "SET":
                session["settings"][words[1]] = " ".join(words[2:])
            elif verb == "PREPARE":
                session["prepared"][words[1]] = (words[2] == "WRITE", words[3])
            elif verb == "DEALLOCATE":
                session["prepared"].pop(words[1], None)
            else:
                session["settings"].clear()
                session["prepared"].clear()
            return "", "COMPLETE -\r\n"
        writes = verb == "WRITE"
        if verb == "EXECUTE":
            if words[1] not in session["prepared"]:
                return error("NOSTMT")
            writes = session["prepared"][words[1]][0]
        if writes and self.role() != "primary":
            return error("READONLY")
        self.record.add(self.name, f"runs {statement_id} {text}")
        self.runs.append((time.monotonic(), statement_id, text))
        async with self.slots:
            await asyncio.sleep(self.work_s(text))
        if verb == "COMMIT":
            written = session["writes"]
            session.update(in_tx=False, writes=[])
            if written and not await self.commit(writer, written, statement_id):
                writer.transport.abort()
                raise ConnectionResetError
        elif writes:
            if session["in_tx"]:
                session["writes"].append(text)
            elif not await self.commit(writer, [text], statement_id):
                writer.transport.abort()
                raise ConnectionResetError
        rows = "" if writes or verb == "COMMIT" else f"DATAROW {len(self.log)}\r\n"
        return rows, f"COMPLETE {self.signature(statement_id, rows)}\r\n"


# --- The platform ---------------------------------------------------------------------------------

class Platform:
    """Carries out promotions: checks the fence, and answers when the database leads."""

    def __init__(self, record, services, promote_s=0.3):
        self.record, self.services, self.promote_s = record, services, promote_s
        self.on_call = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while line := await reader.readline():
                headers = {}
                while each := (await reader.readline()).strip():
                    key, _, value = each.decode().partition(":")
                    headers[key.lower()] = value.strip()
                body = json.loads(await reader.readexactly(int(headers["content-length"])))
                # The call is carried out even if its caller is gone by then.
                status = await asyncio.shield(asyncio.create_task(self.promote(headers, body)))
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n".encode())
        except (OSError, asyncio.IncompleteReadError, KeyError, ValueError):
            pass
        finally:
            writer.close()

    async def promote(self, headers, body):
        holder = headers["oleanderledge-lease-holder"]
        fence = int(headers["oleanderledge-fencing-token"])
        service, name = self.services[body["service"]], body["instance_id"]
        self.record.add("platform", f"{holder} with fence {fence}: promote {name}")
        if self.on_call:
            self.on_call(holder, fence, name)
        server = service.servers.get(name)
        if fence < service.highest_fence or server is None or not server.is_running:
            self.record.add("platform", f"{name} is refused")
            return 409
        service.highest_fence = fence
        if service.primary == name:
            return 200
        await asyncio.sleep(self.promote_s)
        if fence < service.highest_fence or not server.is_running:
            return 409
        if service.primary != name:
            service.promotions.append((name, holder, fence, time.monotonic()))
            await service.promote(name)
        return 200


# --- Clients --------------------------------------------------------------------------------------

class Closed(Exception):
    """The connection ended without a complete answer."""


class Client:
    """A session of one client."""

    def __init__(self, record, name, address, database):
        self.record, self.name, self.address, self.database = record, name, address, database

    async def open(self):
        host, port = self.address.rsplit(":", 1)
        try:
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
            self.writer.write(f"STARTUP {self.database} {self.name}\r\n".encode())
            async with asyncio.timeout(2):
                return (await self.reader.readuntil(b"\r\n")).startswith(b"READY")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def query(self, text):
        """Returns (id, outcome, rows); the outcome is "ok" or the code of the error."""
        statement_id = "%016x" % next(ids)
        self.record.add(self.name, f"sends {statement_id} {text}")
        outcome, rows = "", []
        try:
            self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
            while True:
                line = (await self.reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
                if line.startswith("DATAROW"):
                    rows.append(line)
                elif line.startswith("COMPLETE"):
                    outcome = "ok"
                elif line.startswith("ERROR"):
                    outcome = line.split(" ")[1]
                elif line.startswith("READY"):
                    break
        except (OSError, asyncio.IncompleteReadError):
            self.record.add(self.name, f"gets no complete answer to {statement_id}: closed")
            raise Closed(statement_id) from None
        self.record.add(self.name, f"gets {outcome} for {statement_id}")
        return statement_id, outcome, rows

    def close(self):
        self.writer.close()


def route(host, service, kind="primary", timeout_ms=800, target_ms=400, **more):
    return {"name": "r-" + host, "host": host, "path_prefix": "/", "route_kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 0,
            "service": service, "max_attempts": 2} | more


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": each.name, "health_path": "/health",
                          "connection_limit": each.connection_limit, "protocol": "h1",
                          "tls_enabled": False, "sync_replicas": each.sync_replicas}
                         for each in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       "transaction_idle_ms": 3000}}


async def wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.02)
    return False


def lost_commits(acknowledged, promotions, term_of):
    """Breaks of LOST: acknowledged writes that the log of a promoted database lacks.

    `promotions` has the name, the writes held and the term of each promotion, in their order.
    """
    breaks = []
    for name, held, term in promotions:
        lost = sorted(text for text in acknowledged
                      if term_of[text] < term and text not in held)
        if lost:
            breaks.append(f"LOST: {name} was promoted to term {term}; its log lacks {len(lost)} "
                          f"acknowledged commits, among them: {lost[0]}")
    return breaks
