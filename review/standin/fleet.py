"""A small deployment on loopback addresses: the store, the operator's configuration, replicas that
register themselves, hosts of the project as separate processes, and clients."""

import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from store import Store

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOSTNAME = "ficu95.example"
ZONES = {"hf-a": "is-sv", "kop-b": "is-sv", "rvk-c": "is-sv"}
HEARTBEAT_S = 1.2


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (self.now(), text))
            self.file.flush()


def read_head(file):
    """Reads the first line and the fields of a message; None at the end of the connection."""
    first = file.readline()
    if not first.endswith(b"\r\n"):
        return None
    fields = {}
    while True:
        line = file.readline()
        if line == b"\r\n":
            return first.decode().rstrip(), fields
        if not line.endswith(b"\r\n"):
            return None
        name, _, value = line.decode().partition(":")
        fields[name.strip().lower()] = value.strip()


class Replica:
    """Accepts connections and hands each request to `serve(connection, request)`, which returns
    whether the connection is kept. Registers itself in the store as a replica does."""

    def __init__(self, store, service, identity, slots, serve, zone="hf-a",
                 on_head=None):
        self.store, self.service, self.identity, self.slots = store, service, identity, slots
        self.serve, self.zone = serve, zone
        self.on_head = on_head  # is called when the header of a request has arrived
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.state = "ready"
        self.sequence = 0
        self.register()
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def register(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.identity, {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
            "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0, "Phase": "unified",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Sequence": self.sequence})

    def beat(self):
        while True:
            time.sleep(HEARTBEAT_S)
            self.register()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        file = connection.makefile("rb")
        try:
            while True:
                head = read_head(file)
                if head is None:
                    return
                if self.on_head is not None:
                    self.on_head(head[1])
                body = file.read(int(head[1].get("content-length", "0")))
                request = {"line": head[0], "fields": head[1], "body": body}
                if head[1].get("expected-instance", self.identity) != self.identity:
                    connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                                       + self.identity.encode() + b"\r\nContent-Length: 0\r\n\r\n")
                elif not self.serve(connection, request):
                    return
        except OSError:
            return
        finally:
            file.close()
            connection.close()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Host:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, folder, name, zone, store_address):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            self.command = shlex.split(tomllib.load(file)["roles"]["entry"]["run"])
        self.name = name
        self.callers = ("127.0.0.1", free_port())
        self.status = ("127.0.0.1", free_port())
        self.folder = folder
        self.settings = os.path.join(folder, name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({"host": name, "data_centre": zone, "callers": "%s:%d" % self.callers,
                       "peers": "127.0.0.1:%d" % free_port(), "status": "%s:%d" % self.status,
                       "store": store_address, "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 58,
                       "retry_window_s": 10, "config_bound_ms": 2000, "drain_bound_ms": 2000,
                       "processor_share": 0.25, "regions": ZONES}, file)
        self.start()

    def start(self):
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            self.command, cwd=REPOSITORY, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                 "SEDGECHUTE_CONFIG": self.settings})

    def ready(self):
        try:
            with socket.create_connection(self.status, timeout=1) as link:
                link.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return link.recv(12).endswith(b"200")
        except OSError:
            return False

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()


def wait_ready(hosts, seconds=20):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if all(host.ready() for host in hosts):
            return
        time.sleep(0.1)
    raise RuntimeError("the hosts are not ready")


def configuration(version, routes, services, prepaid=100_000_000):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1, "Prepaid": prepaid}]}


class Client:
    """Sends requests on one kept connection; opens another one after each failure."""

    def __init__(self, address):
        self.address = address
        self.link = None
        self.file = None

    def close(self):
        if self.link is not None:
            self.file.close()
            self.link.close()
        self.link = None

    def send(self, method, path, attempt, deadline_ms, fields=(), body=b""):
        if self.link is None:
            self.link = socket.create_connection(self.address, timeout=1)
            self.link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.file = self.link.makefile("rb")
        self.link.settimeout(deadline_ms / 1000)
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOSTNAME, "Attempt-Id: " + attempt,
                 "Deadline-Ms: %d" % deadline_ms, "Authorization: Token " + KEY, *fields]
        if body or method != "GET":
            lines.append("Content-Length: %d" % len(body))
        self.link.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def read_answer(self):
        """Returns status, fields and body; status None when the connection ended without one."""
        try:
            head = read_head(self.file)
            if head is None:
                self.close()
                return None, {}, b""
            status, fields = int(head[0].split()[1]), head[1]
            body = b""
            if fields.get("transfer-encoding") == "chunked":
                while True:
                    line = self.file.readline()
                    if not line.endswith(b"\r\n"):
                        raise OSError("cut")
                    size = int(line, 16)
                    body += self.file.read(size)
                    self.file.readline()
                    if size == 0:
                        break
            else:
                body = self.file.read(int(fields.get("content-length", "0")))
            if fields.get("connection", "").lower() == "close":
                self.close()
            return status, fields, body
        except (OSError, ValueError):
            self.close()
            return None, {}, b""

    def ask(self, *request, **more):
        try:
            self.send(*request, **more)
        except OSError:
            self.close()
            return None, {}, b""
        return self.read_answer()


def signature(identity, body):
    return "%s.%d" % (identity, len(body))


def whole_answer(identity, attempt, body, status="200 OK"):
    return ("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n"
            % (status, attempt, signature(identity, body), len(body))).encode() + body


def play(case):
    """Runs `case(folder, record)` and exits with its result: 1 broken, 0 held, 2 could not run."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.environ.get("RECORD", os.path.join(here, "record.txt")))
    record.line("trouble " + ("on" if trouble() else "off"))
    code = 2
    hosts = []

    def interrupt(number, _):
        raise RuntimeError("signal %d" % number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, interrupt)
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            code = case(folder, record, hosts)
        except Exception as failure:  # whatever it is, the case could not run
            record.line("could not run: %r" % failure)
            print("could not run: %r" % failure)
        finally:
            for host in hosts:
                host.end()
    record.line("exit %d" % code)
    sys.stdout.flush()
    os._exit(code)
