#!/usr/bin/env python3
"""Runs N idle hosts of the real program on loopback and measures what each costs.

idle_fleet.py [--bin DIR] [--seconds S] N...      the last line is one JSON object
"""
import argparse, json, os, re, shutil, subprocess, tempfile, time, urllib.request

ENDPOINTS = 24
CENTRES = 5
FIRST_PORT = 24000
EXAMPLE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "load", "path")


def port(kind, i=0):
    base = {"platform": 0, "callers": 100, "peers": 200, "admin": 300, "endpoint": 400}[kind]
    return f"127.0.0.1:{FIRST_PORT + base + i}"


def centre(i):
    return f"dc-{i % CENTRES}"


def host_file(folder, count):
    given = json.load(open(f"{EXAMPLE}/hosts.json"))
    standins = given["standins"]
    standins.update(log=port("platform", 1), hosts=port("platform", 2), weights=port("platform", 3))
    hosts = [{"name": f"entry-{i:03}", "kind": "entry", "data_centre": centre(i), "address": port("callers", i),
              "peer_address": port("peers", i), "admin_address": port("admin", i), "state": "live"} for i in range(count)]
    hosts += [{"name": f"lm-{i:03}", "kind": "endpoint", "data_centre": centre(i), "address": port("endpoint", i),
               "pool": "lm", "state": "live"} for i in range(ENDPOINTS)]
    json.dump({"standins": standins, "hosts": hosts}, open(f"{folder}/hosts.json", "w"))


def settings(folder, i):
    given = json.load(open(f"{EXAMPLE}/host.json"))
    given["name"], given["data_centre"] = f"entry-{i:03}", centre(i)
    given["listen"] = {"callers": port("callers", i), "peers": port("peers", i), "admin": port("admin", i)}
    given["platform"] = {"log": port("platform", 1), "host_list": port("platform", 2), "weights": port("platform", 3)}
    json.dump(given, open(f"{folder}/{i}.json", "w"))
    return f"{folder}/{i}.json"


def fleet_file(folder):
    given = json.load(open(f"{EXAMPLE}/fleet.json"))
    given["data_centres"] = [{"name": centre(i), "region": f"region-{i % 2}"} for i in range(CENTRES)]
    json.dump(given, open(f"{folder}/fleet.json", "w"))
    return f"{folder}/fleet.json"


def get(url):
    return urllib.request.urlopen(f"http://{url}", timeout=2)


def wait_for(url):
    for _ in range(300):
        try:
            return get(url).read()
        except OSError:
            time.sleep(0.1)
    raise SystemExit(f"no answer from {url}")


def cpu_s(pid):
    fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    return int(re.search(r"VmRSS:\s+(\d+)", open(f"/proc/{pid}/status").read())[1]) / 1024


def threads(pid):
    return int(re.search(r"Threads:\s+(\d+)", open(f"/proc/{pid}/status").read())[1])


def datagram_bytes(count):
    """Bytes of datagrams that hosts received and sent, membership left out."""
    sums = {"in": 0.0, "out": 0.0}
    for i in range(count):
        with get(port("callers", i) + "/metrics") as answer:
            for direction, value in re.findall(r'sedgechute_peer_bytes_total{.*direction="(\w+)".*} (\S+)', answer.read().decode()):
                sums[direction] += float(value)
    return sums["in"], sums["out"]


def peer_bytes(count):
    """Bytes received and sent on the listening side of connections between hosts that were open all the time."""
    text = subprocess.run(["ss", "-tinH"], capture_output=True, text=True).stdout
    first, last = FIRST_PORT + 200, FIRST_PORT + 200 + count
    found = {}
    place = None
    for row in text.splitlines():
        if not row[0].isspace():
            here, there = row.split()[3:5]
            place = (here, there) if first <= int(here.rsplit(":", 1)[1]) < last else None
            continue
        if place:
            found[place] = [int((re.search(rf"bytes_{way}:(\d+)", row) or [0, 0])[1]) for way in ("received", "sent")]
    return found


def grown(before, after, way):
    """A connection that opened in between counts whole, one that closed does not count."""
    return sum(counts[way] - before.get(place, [0, 0])[way] for place, counts in after.items())


def measure(bin_folder, count, seconds):
    folder = tempfile.mkdtemp()
    running = []
    start = lambda *command: running.append(subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL))
    try:
        host_file(folder, count)
        start(f"{bin_folder}/sedgechute-standin", "all", "--file", f"{folder}/hosts.json")
        wait_for(port("platform", 2) + "/v1/hosts")
        for i in range(count):
            start(f"{bin_folder}/sedgechuted", "--settings", settings(folder, i))
        wait_for(port("callers") + "/healthz")
        key = next(l.split()[1] for l in open(f"{EXAMPLE}/keys.txt") if l.startswith("operator"))
        subprocess.run([f"{bin_folder}/sedgechute", "fleet", "publish", "--host", port("admin"), "--wait", fleet_file(folder)],
                       env={**os.environ, "SEDGECHUTE_KEY": key}, check=True, stdout=subprocess.DEVNULL)
        for i in range(count):
            wait_for(port("callers", i) + "/readyz")
        time.sleep(12)
        pids = [p.pid for p in running[1:]]
        traffic, datagrams = peer_bytes(count), datagram_bytes(count)
        cpu, began = sum(map(cpu_s, pids)), time.monotonic()
        time.sleep(seconds)
        spent = time.monotonic() - began
        cpu = sum(map(cpu_s, pids)) - cpu
        after, datagrams_after = peer_bytes(count), datagram_bytes(count)
        result = {"hosts": count, "endpoints": ENDPOINTS,
                  "cpu_percent_per_host": round(cpu / spent / count * 100, 3),
                  "received_bytes_per_s_per_host": round(grown(traffic, after, 0) / spent / count),
                  "answered_bytes_per_s_per_host": round(grown(traffic, after, 1) / spent / count),
                  "datagram_bytes_in_per_s_per_host": round((datagrams_after[0] - datagrams[0]) / spent / count),
                  "datagram_bytes_out_per_s_per_host": round((datagrams_after[1] - datagrams[1]) / spent / count),
                  "resident_mb_mean": round(sum(map(resident_mb, pids)) / count, 1),
                  "resident_mb_most": round(max(map(resident_mb, pids)), 1),
                  "threads_most": max(map(threads, pids))}
        answers = {}
        for path in ("/load", "/healthz", "/cache/events?after=0"):
            with get(port("endpoint") + path) as answer:
                answers[path] = len(str(answer.headers)) + 17 + len(answer.read())
        result["poll_answer_bytes"] = answers
        return result
    finally:
        for process in reversed(running):
            process.terminate()
        for process in running:
            try:
                process.wait(15)
            except subprocess.TimeoutExpired:
                process.kill()
        shutil.rmtree(folder)


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--bin", default="build/bin")
    arguments.add_argument("--seconds", type=float, default=10)
    arguments.add_argument("counts", type=int, nargs="+")
    given = arguments.parse_args()
    results = []
    for count in given.counts:
        results.append(measure(given.bin, count, given.seconds))
        print(json.dumps(results[-1]))
    print(json.dumps({"idle_fleet": results}))


main()
