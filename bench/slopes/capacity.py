#!/usr/bin/env python3
"""Works out what one host pays at the size of docs/CAPACITY.md from measured slopes.

capacity.py RUN [RUN_TO_COMPARE]      RUN is the last line of scripts/measure slopes
"""
import json, sys

HOSTS, CENTRES, ENDPOINTS, POOLS = 350, 5, 2500, 13
REQUESTS, BUDGETS, TEAMS, CHANGES = 5100, 220_000, 830, 3700
NEAR = HOSTS // CENTRES
EPOCHS = TEAMS * CENTRES  # each busy budget is drawn on in each data centre
REPORT_S, SLICE_S, KEPT_S, CHECKPOINT_S = 10, 3600, 3600, 1800
MOST_CLAIMS = 200_000  # claims_options::max_claims
BASE64 = 4 / 3
HTTP_CPU_US, READ_HEADERS, ENTRY_JSON = 150, 300, 30  # estimates, not measured
POLL_BYTES = 315 + 141 + 144  # answers of /load, /healthz and /cache/events, as measured
POLL_ASKED = 3 * 110  # request lines and headers, an estimate
IDLE_MB = 27.5  # resident, of an idle host of the real program
DATAGRAM_HEADERS = 28
NAMES = 33  # sender and receiver in an envelope; a datagram states them once for all its messages
OPEN_LINKS = 10  # of connections that close when idle, an estimate
ROUND_S, FAR_EVERY, LOADED_BYTES = 2.0, 5, 21  # load_poller: 4 ms an endpoint; names of what is loaded in a tenth of batches
SEEN_TEAMS = 45  # of a pool's 64 teams, those with a request in one data centre within a second


def slopes(file):
    return {s["name"]: s for s in json.loads(open(file).read().strip().splitlines()[-1])["slopes"]}


class model:
    def __init__(self, measured):
        self.of = {name: s["slope"] for name, s in measured.items()}
        self.zero = {name: s["intercept"] for name, s in measured.items()}
        self.largest = {name: s["points"][-1][1] for name, s in measured.items()}
        self.rows = []

    def at(self, name, x):
        return self.zero[name] + self.of[name] * x

    def add(self, role, cpu=0.0, sent=0.0, received=0.0, memory=0.0):
        self.rows.append((role, cpu, sent, received, memory))

    def table(self, title):
        print(f"\n{title}\n\n| role | CPU, % of a core | sent, KB/s | received, KB/s | memory, MB |\n| --- | ---: | ---: | ---: | ---: |")
        sums = [0.0] * 4
        for role, *figures in self.rows:
            shown = [figures[0] / 1e4, figures[1] / 1e3, figures[2] / 1e3, figures[3] / 1e6]
            sums = [a + b for a, b in zip(sums, shown)]
            print(f"| {role} | " + " | ".join(f"{v:.2f}" for v in shown) + " |")
        print("| **sum** | " + " | ".join(f"**{v:.2f}**" for v in sums) + " |")


def log_bytes(m, report_s):
    records = HOSTS / report_s + EPOCHS / SLICE_S
    stored = EPOCHS / report_s * m.of["report_bytes"] + HOSTS / report_s * m.zero["report_bytes"] + EPOCHS / SLICE_S * 103
    return stored * BASE64 + records * ENTRY_JSON, records


def now(measured, worst, speaker):
    """`worst`: how far the placed roles of the worst host exceed the mean."""
    m, o = model(measured), {n: s["slope"] for n, s in measured.items()}
    rate = REQUESTS / HOSTS * worst
    alone = lambda messages: (messages * o["small_message_us"], messages * (o["small_message_overhead"] - NAMES + DATAGRAM_HEADERS))
    messages = (o["request_messages"] + o["claim_messages"]) * rate
    cpu, overhead = alone(messages)
    m.add("entry, holder, witness: budgets", o["request_cpu_us"] * rate, o["request_message_bytes"] * rate,
          o["request_message_bytes"] * rate, EPOCHS / HOSTS * worst * (o["holder_epoch_bytes"] + o["witness_epoch_bytes"]))
    kept = min(REQUESTS * KEPT_S * 2 / HOSTS * worst, MOST_CLAIMS)
    m.add("entry, holder, witness: claims", o["claim_cpu_us"] * rate, o["claim_message_bytes"] * rate,
          o["claim_message_bytes"] * rate, kept * o["claim_state_bytes"] / 2 + (12 << 20))
    m.add(f"datagrams for both, {messages:.0f}/s", cpu, overhead, overhead)
    read, records = log_bytes(m, REPORT_S)
    m.add("replica of budgets", EPOCHS / REPORT_S * o["report_replay_us"] + records * HTTP_CPU_US, records * READ_HEADERS / 2,
          read + records * READ_HEADERS / 2, m.at("budget_state_bytes", BUDGETS) + EPOCHS * o["replica_epoch_bytes"] + (4 << 20))
    day = 86400
    m.add("replica of contracts and settings", CHANGES / day * o["contract_apply_us"], 0, CHANGES / day * o["contract_record_bytes"] * BASE64,
          m.at("contract_state_bytes", BUDGETS))
    packed = m.at("checkpoint_compressed_bytes", BUDGETS) * BASE64
    m.add("checkpoints, as writer", m.at("checkpoint_write_us", BUDGETS) / CHECKPOINT_S, packed / CHECKPOINT_S, packed / CHECKPOINT_S,
          m.at("checkpoint_write_peak_bytes", BUDGETS))
    m.add("appender of a data centre", records / CENTRES * HTTP_CPU_US, read / CENTRES, read / CENTRES / BASE64)
    cpu, overhead = alone(m.largest["share_messages"])
    m.add("share exchange, two pools' speaker" if speaker else "share exchange", cpu + m.largest["share_exchange_us"] + POOLS * m.at("share_plan_us", CENTRES),
          m.largest["share_most_sent" if speaker else "share_mean_sent"], m.largest["share_most_received" if speaker else "share_mean_sent"])
    batches = (NEAR - 1 + (HOSTS - NEAR) / FAR_EVERY) / ROUND_S
    cpu, overhead = alone(batches)
    load = m.zero["load_report_bytes"] + ENDPOINTS / HOSTS * (o["load_report_bytes"] - LOADED_BYTES * 0.9)
    m.add(f"load batches, {batches:.0f}/s", cpu + ENDPOINTS / CENTRES * (1 + (CENTRES - 1) / FAR_EVERY) / ROUND_S * o["load_apply_us"],
          load * batches + overhead, load * batches + overhead)
    polls = ENDPOINTS / HOSTS / ROUND_S
    m.add("polls of endpoints", polls * 3 * HTTP_CPU_US, polls * POLL_ASKED, polls * POLL_BYTES)
    m.add("member", m.at("member_cpu_us_per_s", HOSTS), m.at("member_bytes_per_s", HOSTS), m.at("member_bytes_per_s", HOSTS), m.at("member_state_bytes", HOSTS))
    m.add("endpoint table", 0, 0, 0, ENDPOINTS * o["endpoint_state_bytes"])
    m.add("queues", 0, 0, 0, TEAMS * 2 * o["queue_team_bytes"])
    m.add("decider of a pool", m.at("order_plan_us", ENDPOINTS / POOLS))
    m.add(f"links, opened when used, {OPEN_LINKS} at a time", 0, 0, 0, OPEN_LINKS * o["link_memory_bytes"])
    m.add("the program itself, idle", 0, 0, 0, IDLE_MB * 1e6)
    return m


def changed(measured, worst):
    m, o = model(measured), {n: s["slope"] for n, s in measured.items()}
    rate = REQUESTS / HOSTS * worst
    send = lambda messages, bytes_each: (messages * o["small_message_us"], messages * (bytes_each + DATAGRAM_HEADERS))
    cpu, traffic = send(o["request_messages"] * rate, o["request_message_bytes"] / o["request_messages"] - 33)
    m.add("budgets, datagrams without names (1, 2)", cpu + o["request_cpu_us"] * rate, traffic, traffic,
          EPOCHS / HOSTS * worst * (o["holder_epoch_bytes"] + o["witness_epoch_bytes"]))
    cpu, traffic = send(4 * rate, 72)
    m.add("claims, packed, held where minted (1, 2, 3)", cpu + o["claim_cpu_us"] * rate, traffic, traffic,
          REQUESTS * KEPT_S * 2 / HOSTS * 64 * worst + (4 << 20))
    read, records = log_bytes(m, 30)
    m.add("replica of budgets, paced reads (4), a twentieth of idle rows (5)", EPOCHS / 30 * o["report_replay_us"] + 4 * HTTP_CPU_US, 4 * READ_HEADERS / 2,
          read + 4 * READ_HEADERS / 2, BUDGETS * 20 + EPOCHS * o["replica_epoch_bytes"] + BUDGETS / 20 * o["budget_state_bytes"] + (1 << 20))
    m.add("contracts: index of all, a twentieth kept (5)", CHANGES / 86400 * o["contract_apply_us"], 0, 40, BUDGETS * 20 + BUDGETS / 20 * o["contract_state_bytes"] + (2 << 20))
    m.add("checkpoints on a stream of their own, in parts (6)", m.at("checkpoint_write_us", BUDGETS) / CHECKPOINT_S, 0, 0, 2e6)
    m.add("appender of a data centre", records / CENTRES * HTTP_CPU_US, read / CENTRES, read / CENTRES / BASE64)
    cpu, _ = send(m.largest["share_messages"], 0)
    m.add("shares, two pools' speaker (7)", cpu + m.largest["share_exchange_us"] + POOLS * m.at("share_plan_us", CENTRES),
          m.largest["share_most_sent"], m.largest["share_most_received"])
    near = ENDPOINTS / CENTRES * 10 / 2
    m.add("loads by a tree in the data centre, 10 B each 2 s (8)", 3 * 4 * o["small_message_us"] + near / 10 * o["load_apply_us"], near * 1.1, near * 1.1)
    polls = ENDPOINTS / HOSTS
    m.add("polls once a second, one call (9)", polls * HTTP_CPU_US, polls * 110, polls * 330)
    m.add("member", m.at("member_cpu_us_per_s", HOSTS), m.at("member_bytes_per_s", HOSTS), m.at("member_bytes_per_s", HOSTS), m.at("member_state_bytes", HOSTS))
    m.add("endpoint table of the own data centre (8)", 0, 0, 0, ENDPOINTS / CENTRES * o["endpoint_state_bytes"])
    m.add("queues", 0, 0, 0, TEAMS * 2 * o["queue_team_bytes"])
    m.add("decider of a pool", m.at("order_plan_us", ENDPOINTS / POOLS))
    m.add(f"links, opened when used, {OPEN_LINKS} at a time (1)", 0, 0, 0, OPEN_LINKS * o["link_memory_bytes"])
    m.add("the program itself, idle", 0, 0, 0, IDLE_MB * 1e6)
    return m


def compare(first, second):
    differ = lambda a, b: abs(a - b) / max(abs(a), abs(b), 1e-12) * 100
    print("\n| slope | first run | second run | differ by | at the largest size, differ by | residual |\n| --- | ---: | ---: | ---: | ---: | ---: |")
    for name, s in first.items():
        if name not in second:
            continue
        a, b, x = s["slope"], second[name]["slope"], s["points"][-1][0]
        ends = [r["intercept"] + r["slope"] * x for r in (s, second[name])]
        print(f"| {name}, {s['unit']} per {s['driver']} | {a:.4g} | {b:.4g} | {differ(a, b):.1f} % | {differ(*ends):.1f} % | {s['residual'] * 100:.1f} % |")


def main():
    measured = slopes(sys.argv[1])
    now(measured, 1, False).table("Today's program, the mean host")
    now(measured, 2, True).table("Today's program, the worst-placed host")
    changed(measured, 1.3).table("With the changes, the worst-placed host")
    if len(sys.argv) > 2:
        compare(measured, slopes(sys.argv[2]))


main()
