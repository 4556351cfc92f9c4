"""An entry freezes; submissions sent to it get no answer in time and are cancelled at another."""

import base64
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
from world import BOUNDS, SERVICE, run_case

HOST, PREFIX = "desk.example", "/batch/"
CLIENTS = 4
FROZEN_S = 3.6
LIMIT_S = 3.0
CONFIG = {
    "version": 1,
    "routes": [{"name": "r-batch", "host": HOST, "prefix": PREFIX, "kind": "unsafe",
                "timeoutMs": 3000, "sloMs": 1000, "priority": 0, "service": SERVICE,
                "attempts": 3, "stretch": 2.0}],
    "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
                  "tls": False, "enforcesCapacity": False, "spare": False}],
    "limits": {"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000},
}
JOB = {
    "spec": '{"ms":[6000,500]}',
    "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "estMs": 6000},
              {"count": 1, "cpu": 1000, "memMb": 1000, "estMs": 500, "after": [0]}],
}


def owner(world):
    """Returns the entry that the programs' own key names."""
    value = base64.b64decode(world.store.items["mt/owner"]["value"])
    return next(name for name in world.entries if name.encode() in value)


def client(world, number, frozen, acks):
    """Submits, and cancels at another entry once its time limit has passed."""
    others = [name for name in world.entries if name != frozen]
    job = f"5c0e7a21d94b36{number:02x}"
    began = time.monotonic()
    world.client(frozen, "POST", HOST, PREFIX + job, JOB, LIMIT_S)
    time.sleep(max(0, began + LIMIT_S - time.monotonic()))
    for n in range(10):
        entry = others[(number + n) % 2]
        status, _ = world.client(entry, "DELETE", HOST, PREFIX + job, None, LIMIT_S)
        if status in (200, 410):
            acks[job] = (status, time.monotonic())
            return
        time.sleep(0.3)


def case(world):
    world.put_config(CONFIG)
    world.start_all()
    time.sleep(4)
    frozen = next(name for name in world.entries if name != owner(world))
    world.record(f"the owner is {owner(world)}, the entry to freeze {frozen}")
    began = time.monotonic()
    if world.trouble:
        world.signal(frozen, signal.SIGSTOP)
    acks = {}
    threads = [threading.Thread(target=client, args=(world, n, frozen, acks))
               for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(max(0, began + FROZEN_S - time.monotonic()))
    if world.trouble:
        world.signal(frozen, signal.SIGCONT)
    for thread in threads:
        thread.join()
    time.sleep(10)
    assert len(acks) == CLIENTS, "a cancel is not answered"
    calm = began + FROZEN_S + BOUNDS["stableWindowMs"] / 1000
    late = []
    for e in world.events():
        if e["event"] == "start":
            job = e["task"].split(".")[0]
            status, acked = acks.get(job, (None, None))
            if acked is not None and e["t"] > max(acked + BOUNDS["cancel_ms"] / 1000, calm):
                late.append(f"{e['task']} {e['t'] - acked:.1f} s after the {status}")
    world.record(f"cancels acknowledged: { {j: s for j, (s, _) in acks.items()} }")
    if late:
        return f"UNASKED: started after the cancel was acknowledged: {late}"
    return ""


run_case(case, FOLDER, entries=3, workers=3)
