"""Clients send bodies as large as the configuration allows, a few dozen at the same time. The host
keeps them all in memory, exceeds what its machine has, and is killed with all that it serves."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from fleet import Client, Host, Replica, configuration, play, trouble, wait_ready, whole_answer
from store import Store

MEMORY_MB = 110  # `Limits.MemoryMb` of the settings
BODY_BYTES = 4194304  # `Limits.MaxBodyBytes` of the configuration
UPLOADS = 24
CONFIRMS = 10
WORK_S = 0.06  # the mean of the site's plain requests
UPLOAD_WORK_S = 0.4
ALLOWED = 3


def rss_mb(process):
    try:
        with open("/proc/%d/status" % process.pid, encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


class Platform:
    """Kills a process that exceeds the memory of its machine, and starts it again."""

    def __init__(self, hosts, record):
        self.hosts, self.record = hosts, record
        self.highest = 0
        self.kills = 0
        self.ended = False
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.ended:
            for host in self.hosts:
                used = rss_mb(host.process)
                self.highest = max(self.highest, used)
                if used > MEMORY_MB:
                    self.record.line("platform: %s uses %.0f MB of %d and is killed"
                                     % (host.name, used, MEMORY_MB))
                    host.signal(signal.SIGKILL)
                    host.process.wait()
                    self.kills += 1
                    host.log.close()
                    time.sleep(0.5)
                    host.start()
            time.sleep(0.005)


def case(folder, record, hosts):
    store = Store()
    passed, answered, uploads = set(), {}, []

    def arrive(fields):
        passed.add(fields["attempt-id"])
        record.line("replica: %s arrives" % fields["attempt-id"])

    def serve(connection, request):
        attempt = request["fields"]["attempt-id"]
        record.line("replica: runs %s (%d bytes)" % (attempt, len(request["body"])))
        time.sleep(UPLOAD_WORK_S if len(request["body"]) > 100_000 else WORK_S)
        connection.sendall(whole_answer("i", attempt, b"done"))
        return True

    replicas = []
    for i, zone in enumerate(("hf-a", "kop-b", "rvk-c")):
        replicas.append(Replica(store, "orders", "i-%d" % i, 64, serve, zone, arrive))
    store.put("keyed.op", "config", configuration(
        1, [{"Name": "order-confirm", "Hostname": "ficu95.example", "PathPrefix": "/orders/",
             "Type": "unsafe", "TimeoutMs": 8000, "LatencyTargetMs": 300, "Priority": 2,
             "MaxAttempts": 1, "Public": False, "SessionAffinity": False, "Resumable": False,
             "Service": "orders"}],
        [{"Name": "orders", "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1",
          "Tls": False}]))
    hosts += [Host(folder, "edge-%s-1" % zone, zone, store.address)
              for zone in ("hf-a", "kop-b", "rvk-c")]
    wait_ready(hosts)
    time.sleep(7)
    platform = Platform(hosts, record)
    ended = threading.Event()
    everybody = threading.Barrier(UPLOADS)

    def confirm(index):
        client, number = Client(hosts[0].callers), 0
        while not ended.is_set():
            number += 1
            attempt = "c%d-%04d" % (index, number)
            status, _, _ = client.ask("POST", "/orders/2f", attempt, 1500, body=b"order")
            answered[attempt] = status
            record.line("client: %s is answered %s" % (attempt, status))
            time.sleep(0.05 if status == 200 else 0.3)
        client.close()

    def upload(index):
        attempt = "u%04d" % index
        client = Client(hosts[0].callers)
        client.ask("POST", "/orders/2f", "k%04d" % index, 8000, body=b"order")
        everybody.wait()
        status, _, _ = client.ask("POST", "/orders/2f", attempt, 8000, body=b"x" * BODY_BYTES)
        answered[attempt] = status
        uploads.append(status)
        record.line("client: %s (%d bytes) is answered %s" % (attempt, BODY_BYTES, status))
        client.close()

    threads = [threading.Thread(target=confirm, args=(i,)) for i in range(CONFIRMS)]
    for thread in threads:
        thread.start()
    time.sleep(3)
    if trouble():
        record.line("clients: %d send bodies of %d bytes" % (UPLOADS, BODY_BYTES))
        senders = [threading.Thread(target=upload, args=(i,)) for i in range(UPLOADS)]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
    time.sleep(3)
    ended.set()
    for thread in threads:
        thread.join()
    platform.ended = True
    platform.thread.join()
    lost = [attempt for attempt, status in answered.items() if status is None and attempt in passed]
    result = ("%d requests, %d passed on and ended without an answer; uploads answered %s; at "
              "most %.0f MB of %d, %d kills" % (
                  len(answered), len(lost), {s: uploads.count(s) for s in set(uploads)},
                  platform.highest, MEMORY_MB, platform.kills))
    record.line(result)
    print(result)
    if sum(1 for status in answered.values() if status == 200) < 50:
        return 2
    return 1 if len(lost) > ALLOWED else 0


if __name__ == "__main__":
    play(case)
