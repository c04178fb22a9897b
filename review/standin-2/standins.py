"""Stand-ins of the platform for the scripts of this review, by the users' pages.

A store (keyed topics only), replicas, clients, and the start and end of the program under test.
All of them use loopback addresses and free ports. One asyncio loop runs the stand-ins.
"""

import asyncio
import base64
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

PROGRAM = os.path.join("target", "bin", "sedgechute-entry")


def now():
    return time.monotonic()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = now()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now() - self.began:8.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the first line and the fields of a message; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def http_text(status, reason, fields, body=b""):
    head = [f"HTTP/1.1 {status} {reason}"]
    head += [f"{name}: {value}" for name, value in fields.items()]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: a log with keyed topics.

    Each host has a port of its own, so that the store can turn single hosts away (`refused`).
    """

    def __init__(self, record):
        self.record = record
        self.parts = {}  # (topic, part) -> list of (key, value or None)
        self.changed = asyncio.Condition()
        self.refused = set()  # names of hosts that get 503
        self.down = False
        self.servers = []

    async def listen(self, host_name):
        port = free_port()
        server = await asyncio.start_server(
            lambda reader, writer: self.serve(host_name, reader, writer), "127.0.0.1", port
        )
        self.servers.append(server)
        return f"127.0.0.1:{port}"

    async def put(self, topic, key, value):
        """A write of the operator or of a replica; its return is the acknowledgement."""
        async with self.changed:
            self.parts.setdefault((topic, 0), []).append((key.encode(), value))
            self.changed.notify_all()

    async def serve(self, host_name, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                if self.down or host_name in self.refused:
                    answer = http_text(503, "Service Unavailable", {})
                else:
                    answer = await self.answer(line, body)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        at = (query.get("Topic", ""), int(query.get("part", "0")))
        if url.path == "/log-newest":
            return self.newest(at)
        if url.path == "/log-read":
            return await self.read(at, int(query["From"]), int(query.get("WaitMs", "0")))
        if method == "POST" and url.path == "/log-append":
            return await self.append(at, query, body)
        return http_text(404, "Not Found", {})

    def newest(self, at):
        last = {}
        for offset, (key, value) in enumerate(self.parts.get(at, [])):
            last[key] = (value, offset)
        rows = [
            {
                "Key": key.decode("utf-8", "replace"),
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (value, offset) in sorted(last.items())
            if value is not None
        ]
        page = {"Records": rows, "HasMore": False, "EndOffset": len(self.parts.get(at, []))}
        body = json.dumps(page).encode()
        return http_text(200, "OK", {"Content-Type": "application/json"}, body)

    async def read(self, at, begin, wait_ms):
        if wait_ms > 0 and len(self.parts.get(at, [])) <= begin:
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: len(self.parts.get(at, [])) > begin),
                        wait_ms / 1000,
                    )
                except asyncio.TimeoutError:
                    pass
        records = self.parts.get(at, [])
        body = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in records[begin:]:
            content = bytes([len(key)]) + key + (value or b"")
            body += len(content).to_bytes(4, "big") + content
        return http_text(200, "OK", {"Content-Type": "application/octet-stream"}, body)

    async def append(self, at, query, body):
        if at[0] in ("keyed.op", "keyed.servers"):
            return http_text(403, "Forbidden", {})
        async with self.changed:
            records = self.parts.setdefault(at, [])
            fields = {"Content-Type": "application/json"}
            if "At" in query and int(query["At"]) != len(records):
                text = json.dumps({"EndOffset": len(records)}).encode()
                return http_text(412, "Precondition Failed", fields, text)
            first = len(records)
            while body:
                size = int.from_bytes(body[:4], "big")
                content, body = body[4 : 4 + size], body[4 + size :]
                key_size = content[0]
                key, value = content[1 : 1 + key_size], content[1 + key_size :]
                records.append((key, value or None))
            self.changed.notify_all()
            text = json.dumps({"Offset": first, "EndOffset": len(records)}).encode()
            return http_text(200, "OK", fields, text)


class Replica:
    """A replica of a service: registers itself, checks `Expected-Instance`, echoes `Attempt-Id`.

    `respond` writes the answer to a request; `runs` holds (time, attempt, port of the sender).
    """

    def __init__(self, store, record, name, service, zone, slots=64):
        self.store, self.record = store, record
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.sequence = 0
        self.state = "ready"
        self.cold_until = 0.0
        self.runs = []
        self.running = 0
        self.address = ""

    async def start(self, beat_s=1.2):
        port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.address = f"127.0.0.1:{port}"
        await self.beat()
        self.beating = asyncio.ensure_future(self.keep_beating(beat_s))

    def cold_ms(self):
        return max(0, int((self.cold_until - now()) * 1000))

    async def beat(self):
        self.sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": self.cold_ms(),
            "Sequence": self.sequence,
        }
        await self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def keep_beating(self, beat_s):
        while True:
            await asyncio.sleep(beat_s)
            await self.beat()

    async def serve(self, reader, writer):
        sender = writer.get_extra_info("peername")[1]
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                await reader.readexactly(int(fields.get("content-length", "0")))
                if line.split(" ")[1] == "/healthz":
                    answer = http_text(
                        200, "OK", {"Instance-Id": self.name, "Cold-Ms": self.cold_ms()}
                    )
                    writer.write(answer)
                    continue
                if fields.get("expected-instance", self.name) != self.name:
                    answer = http_text(421, "Misdirected Request", {"Instance-Id": self.name})
                    writer.write(answer)
                    continue
                self.runs.append((now(), fields.get("attempt-id", ""), sender))
                self.record.line(f"{self.name} runs {fields.get('attempt-id', '')}")
                self.running += 1
                try:
                    await self.respond(writer, fields)
                finally:
                    self.running -= 1
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def answer_fields(self, fields):
        return {
            "Attempt-Id": fields.get("attempt-id", ""),
            "Response-Signature": f"{self.name}.{len(self.runs)}",
            "Instance-Load": f"{self.running},0,{self.slots}",
        }

    async def respond(self, writer, fields):
        await asyncio.sleep(0.005)
        writer.write(http_text(200, "OK", self.answer_fields(fields), b"x" * 800))
        await writer.drain()


class Host:
    """One process of the program under test, with the settings of a small deployment."""

    def __init__(self, name, centre, store, folder, extra=None):
        self.name, self.folder = name, folder
        ports = [free_port() for _ in range(3)]
        self.callers, self.peers, self.status = (f"127.0.0.1:{port}" for port in ports)
        self.settings = {
            "host": name,
            "data_centre": centre,
            "callers": self.callers,
            "peers": self.peers,
            "status": self.status,
            "store": store,
            "grace_s": 8,
            "retry_ratio": 0.2,
            "retry_slack": 58,
            "retry_window_s": 10,
            "config_bound_ms": 2000,
            "drain_bound_ms": 2000,
            "processor_share": 0.25,
            "event_latency_ms": 120,
            "memory_mb": 110,
            "regions": {centre: "region-1"},
        }
        self.settings.update(extra or {})
        self.process = None

    def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM], stdout=log, stderr=log, env={**os.environ, "SEDGECHUTE_CONFIG": path}
        )

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def ready(self, within_s=20):
        for _ in range(int(within_s * 10)):
            status, _ = await fetch(self.status, "/readyz")
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False


async def fetch(address, path):
    """Returns status and body of a GET over a new connection; status 0 where that fails."""
    ip, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        text = await asyncio.wait_for(reader.read(), 2)
        writer.close()
        return int(text.split(b" ", 2)[1]), text
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, b""


class Answer:
    """What a client saw: status 0 where the connection ended before a header."""

    def __init__(self, status=0, fields=None, body=b"", whole=False):
        self.status, self.fields = status, fields or {}
        self.body, self.whole = body, whole


class Client:
    """A client with one kept connection, opened anew when it was closed."""

    ids = itertools.count(1)

    def __init__(self, record, address, key=None, host="a.example"):
        self.record, self.address, self.key, self.host = record, address, key, host
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, path, fields=None, body=b"", deadline_ms=15000):
        """Sends one request and returns its attempt's id."""
        if self.writer is None:
            ip, port = self.address.split(":")
            self.reader, self.writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
        attempt = f"{next(Client.ids):016x}"
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.host}", f"Attempt-Id: {attempt}"]
        lines.append(f"Deadline-Ms: {deadline_ms}")
        if self.key:
            lines.append(f"Authorization: Token {self.key}")
        lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()
        return attempt

    async def receive(self):
        """Reads one answer."""
        answer = Answer()
        try:
            head = await read_head(self.reader)
            if head is None:
                self.close()
                return answer
            line, answer.fields = head
            answer.status = int(line.split(" ")[1])
            if answer.fields.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                    answer.body += (await self.reader.readexactly(size + 2))[:size]
                    if size == 0:
                        break
            else:
                length = int(answer.fields.get("content-length", "0"))
                answer.body = await self.reader.readexactly(length)
            answer.whole = True
            if answer.fields.get("connection", "").lower() == "close":
                self.close()
        except (asyncio.IncompleteReadError, ConnectionError) as end:
            answer.body += getattr(end, "partial", b"")
            self.close()
        return answer

    async def ask(self, method, path, fields=None, body=b"", deadline_ms=15000):
        try:
            attempt = await self.send(method, path, fields, body, deadline_ms)
        except OSError:
            self.close()
            return "", Answer()
        try:
            answer = await asyncio.wait_for(self.receive(), deadline_ms / 1000 + 1)
        except asyncio.TimeoutError:
            self.close()
            answer = Answer()
        self.record.line(f"{self.address} answers {attempt}: {answer.status}")
        return attempt, answer


def run_case(record_path, play):
    """Runs `play(record, folder for files, trouble, hosts)`, which returns 0, 1 or 2.

    Ends all hosts and then this process, whatever the stand-ins are doing.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    files = tempfile.mkdtemp()
    hosts = []

    def end(result):
        for host in hosts:
            host.kill()
        shutil.rmtree(files, ignore_errors=True)
        names = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}
        record.line(names[result])
        record.close()
        print(f"result {result}", flush=True)
        os._exit(result)

    async def main():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, lambda: end(2))
        try:
            end(await asyncio.wait_for(play(record, files, trouble, hosts), 112))
        except Exception as fault:  # the case says nothing about the rule then
            record.line(f"the case could not run: {fault!r}")
            end(2)

    asyncio.run(main())
