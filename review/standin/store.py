"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it: topics with partitions,
appends on a condition, long polls, and the newest record of each key."""

import base64
import json
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Partition:
    def __init__(self):
        self.records = []  # (bytes with length, key, value)
        self.newest = {}  # key -> (value, offset)


def split_records(body):
    records = []
    while body:
        (length,) = struct.unpack(">I", body[:4])
        content = body[4:4 + length]
        key_length = content[0]
        key = content[1:1 + key_length]
        value = content[1 + key_length:]
        records.append((body[:4 + length], key, value if value else None))
        body = body[4 + length:]
    return records


class Store:
    """Runs until the process ends. Operator and replicas write with `put`."""

    def __init__(self):
        self.lock = threading.Condition()
        self.parts = {}
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def answer(self, status, body, kind="application/json"):
                if isinstance(body, dict):
                    body = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", kind)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_GET(self):
                self.handle_call(b"")

            def do_POST(self):
                self.handle_call(self.rfile.read(int(self.headers.get("Content-Length", "0"))))

            def handle_call(self, body):
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                name = (query.get("Topic", ""), int(query.get("part", "0")))
                if url.path == "/log-append":
                    self.answer(*store.append(name, body, query.get("At")))
                elif url.path == "/log-read":
                    wait = int(query.get("WaitMs", "0")) / 1000
                    data = store.read(name, int(query["From"]), wait)
                    self.answer(200, data, "application/octet-stream")
                elif url.path == "/log-newest":
                    self.answer(200, store.newest(name, query.get("After", "")))
                else:
                    self.answer(404, {})

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass  # a host was killed and has left its connection

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def part(self, name):
        return self.parts.setdefault(name, Partition())

    def add(self, name, records):
        part = self.part(name)
        for record in records:
            if record[2] is None:
                part.newest.pop(record[1], None)
            else:
                part.newest[record[1]] = (record[2], len(part.records))
            part.records.append(record)

    def append(self, name, body, at):
        records = split_records(body)
        with self.lock:
            first = len(self.part(name).records)
            if at is not None and int(at) != first:
                return 412, {"EndOffset": first}
            self.add(name, records)
            self.lock.notify_all()
            return 200, {"Offset": first, "EndOffset": first + len(records)}

    def put(self, topic, key, value):
        key, value = key.encode(), b"" if value is None else json.dumps(value).encode()
        content = bytes([len(key)]) + key + value
        self.append((topic, 0), struct.pack(">I", len(content)) + content, None)

    def read(self, name, start, wait):
        until = time.monotonic() + wait
        with self.lock:
            part = self.part(name)
            while len(part.records) <= start and time.monotonic() < until:
                self.lock.wait(max(until - time.monotonic(), 0.001))
            data = b"".join(record[0] for record in part.records[start:])
            return struct.pack(">QQ", len(part.records), 0) + data

    def newest(self, name, after):
        with self.lock:
            part = self.part(name)
            keys = sorted(key for key in part.newest if key > after.encode())
            rows = [{"Key": key.decode(), "Value": base64.b64encode(part.newest[key][0]).decode(),
                     "Offset": part.newest[key][1]} for key in keys[:500]]
            return {"Records": rows, "HasMore": len(keys) > 500, "EndOffset": len(part.records)}
