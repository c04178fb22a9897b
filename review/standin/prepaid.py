"""Traffic of one tenant with a Prepaid, against model replicas that answer at once, and the check
that what is left of the Prepaid is not refused."""

import threading
import time

from fleet import Client, Host, Replica, configuration, wait_ready
from store import Store

PREPAID = 1_000_000
PROMPT = 800
EVENTS = 20
TOKENS_PER_EVENT = 5  # `Stride` of the configuration
BOUND = PROMPT + EVENTS * TOKENS_PER_EVENT  # what a request uses at most, and here always
FIRST_PART = 100_000  # tokens used before the disruption
OWED = 0.97  # of Prepaid, by the rules
STABLE_S = 3.0  # `StableWindowMs`
CLIENTS = 9
ZONES = ("hf-a", "kop-b", "rvk-c")


class Traffic:
    """Clients that send one request after the other. Counts tokens at their most: open requests,
    and those that ended otherwise than with 200 or a promise that they have not run."""

    def __init__(self, hosts, record):
        self.hosts, self.record = hosts, record
        self.lock = threading.Lock()
        self.used = 0
        self.open = 0
        self.number = 0
        self.answers = {}
        self.denied = 0

    def run(self, until_tokens, seconds):
        self.stop_at = time.monotonic() + seconds
        self.until_tokens = until_tokens
        threads = [threading.Thread(target=self.send_all, args=(i,)) for i in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def send_all(self, index):
        client = Client(self.hosts[index % len(self.hosts)].callers)
        while time.monotonic() < self.stop_at:
            with self.lock:
                if self.used + (self.open + 1) * BOUND > self.until_tokens:
                    break
                self.open += 1
                self.number += 1
                attempt = "t%06d" % self.number
            status, _, _ = client.ask(
                "POST", "/chat/2f", attempt, 12000, body=b"hello",
                fields=("Model: m", "Token-Usage: %d,%d" % (PROMPT, EVENTS * TOKENS_PER_EVENT),
                        "Prefix-Hash: 5c1e07a2:300,%x:500" % (0x10000 + self.number)))
            with self.lock:
                self.open -= 1
                self.answers[status] = self.answers.get(status, 0) + 1
                if status not in (402, 429, 503):
                    self.used += BOUND
                if status == 402:
                    self.denied += 1
                    self.record.line("client: %s is answered 402; %d of %d tokens are used at most"
                                     % (attempt, self.used + self.open * BOUND, PREPAID))
                else:
                    self.record.line("client: %s is answered %s" % (attempt, status))
            time.sleep(0.01 if status == 200 else 0.1)
        client.close()


def make_replica(store, record, identity, zone):
    def serve(connection, request):
        attempt = request["fields"]["attempt-id"]
        record.line("replica %s: runs %s" % (identity, attempt))
        connection.sendall(("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s.s\r\n"
                            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                            % (attempt, identity)).encode())
        time.sleep(0.02)
        text = "".join("id: %d\ndata: piece\n\n" % (i + 1) for i in range(EVENTS)).encode()
        connection.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(text), text))
        return True

    return Replica(store, "model", identity, 64, serve, zone)


def start_deployment(folder, record, hosts, prepaid=PREPAID):
    store = Store()
    for i, zone in enumerate(ZONES):
        make_replica(store, record, "i-%d" % i, zone)
    store.put("keyed.op", "config", configuration(
        1, [{"Name": "wearer-chat", "Hostname": "ficu95.example", "PathPrefix": "/chat/",
             "Type": "streaming", "TimeoutMs": 12000, "LatencyTargetMs": 300, "Priority": 0,
             "MaxAttempts": 2, "Public": False, "SessionAffinity": True, "Resumable": True,
             "InterTokenMs": 200, "Service": "model"}],
        [{"Name": "model", "HealthPath": "/healthz", "MaxConnections": 370, "Protocol": "h1",
          "Tls": False, "Runtime": {
              "Slots": 64, "KvCapacityTokens": 518063, "KvTokenBytes": 163840, "LinkMbps": 180000.0,
              "Migrations": True, "Backups": True, "Stride": TOKENS_PER_EVENT, "most": 12,
              "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0, "Models": [{"Name": "m"}]}}],
        prepaid))
    hosts += [Host(folder, "edge-%s-1" % zone, zone, store.address) for zone in ZONES]
    wait_ready(hosts)
    time.sleep(7)  # the hosts know each other
    return store


def play_prepaid(folder, record, hosts, disturb):
    """Uses a tenth of the Prepaid, calls `disturb`, and uses what is left of it."""
    start_deployment(folder, record, hosts)
    traffic = Traffic(hosts, record)
    traffic.run(FIRST_PART, 20)
    time.sleep(2)
    disturb()
    wait_ready(hosts)
    time.sleep(STABLE_S + 1)
    traffic.run(PREPAID * OWED, 40)
    result = ("%d requests, answers %s; %d of %d tokens used, %d requests refused with 402 that fit "
              "into %.2f of Prepaid" % (traffic.number, traffic.answers, traffic.used, PREPAID,
                                        traffic.denied, OWED))
    record.line(result)
    print(result)
    if traffic.answers.get(200, 0) < FIRST_PART // BOUND:
        return 2
    return 1 if traffic.denied > 5 + traffic.number / 500 else 0
