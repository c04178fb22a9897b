"""DRAIN: a heartbeat that reaches the store late takes back a replica's `draining`."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import standins as s  # noqa: E402

REPLICAS = 5  # one of them is cut from the store: a share of 0.2
BEAT_S = 1.2
CUT_S = 2.3
LATE_S = 2.5  # after the acknowledgement of `draining`
DRAIN_S = 2.0

CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "lookup",
            "Hostname": "a.example",
            "PathPrefix": "/lookup/",
            "Type": "safe",
            "TimeoutMs": 800,
            "LatencyTargetMs": 300,
            "Priority": 2,
            "Service": "app",
            "MaxAttempts": 2,
            "Public": False,
        }
    ],
    "Services": [{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 110}],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "t1", "ApiKeys": ["key1"], "Priority": 1, "Prepaid": 4000000}],
}


class Registering(s.Replica):
    """Registers like any replica, and can lose its path to the store."""

    async def register(self, record):
        """Beats until it is cut off; returns the beat that was on its way then."""
        for _ in range(8):
            await self.beat()
            await asyncio.sleep(BEAT_S)
        self.sequence += 1
        record.line(f"{self.name} sends beat {self.sequence}, ready")
        return self.entry()

    def entry(self):
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
        }

    async def deliver(self, entry):
        await self.store.put("keyed.servers", self.name, json.dumps(entry).encode())


async def ask_often(record, address, until):
    client = s.Client(record, address, key="key1")
    statuses = []
    while s.now() < until:
        _, answer = await client.ask("GET", "/lookup/x", deadline_ms=1500)
        statuses.append(answer.status)
        await asyncio.sleep(0.02)
    client.close()
    return statuses


async def play(record, files, trouble, hosts):
    store = s.Store(record)
    await store.put("keyed.op", "config", json.dumps(CONFIG).encode())
    replicas = [Registering(store, record, f"i-{n}", "app", "zone-1") for n in range(REPLICAS)]
    for replica in replicas:
        await replica.start(BEAT_S)
    leaving = replicas[0]
    leaving.beating.cancel()
    for n in range(2):
        hosts.append(s.Host(f"host-{n}", "zone-1", await store.listen(f"host-{n}"), files))
        hosts[-1].start()
    for host in hosts:
        if not await host.ready():
            return 2

    until = s.now() + 20
    asks = [
        asyncio.ensure_future(ask_often(record, host.callers, until))
        for host in hosts
        for _ in range(3)
    ]
    held = await leaving.register(record)
    if trouble:
        record.line(f"{leaving.name} is cut from the store; the beat is held up")
    else:
        await leaving.deliver(held)
    await asyncio.sleep(CUT_S)

    leaving.state = "draining"
    await leaving.beat()
    drained_at = s.now()
    record.line(f"the store acknowledges beat {leaving.sequence} of {leaving.name}, draining")
    await asyncio.sleep(BEAT_S)
    await leaving.beat()
    await asyncio.sleep(BEAT_S)
    await leaving.beat()
    beaten_at = s.now()
    await asyncio.sleep(max(0.0, drained_at + LATE_S - s.now()))
    if trouble:
        await leaving.deliver(held)
        record.line(f"the beat {held['Sequence']} reaches the store")
    await asyncio.sleep(beaten_at + BEAT_S - s.now())
    await leaving.beat()
    record.line(f"the store acknowledges beat {leaving.sequence} of {leaving.name}, draining")
    statuses = [status for part in await asyncio.gather(*asks) for status in part]

    late = [at for at, _, _ in leaving.runs if at > drained_at + DRAIN_S]
    before = [at for at, _, _ in leaving.runs if at <= drained_at]
    record.line(f"answers: {({status: statuses.count(status) for status in set(statuses)})}")
    record.line(
        f"{leaving.name} ran {len(before)} requests before it was draining and {len(late)} later"
        f" than {DRAIN_S} s after; the bound is 0"
    )
    if len(before) < 50:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    folder = os.path.dirname(os.path.abspath(__file__))
    s.run_case(os.path.join(folder, "record.txt"), play)
