"""One runner crashes under a member of each of several gangs that save their progress."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
from world import BOUNDS, SERVICE, run_case

HOST, PREFIX = "desk.example", "/batch/"
GANGS = 6
CRASHED = "side-0"
DOWN_S = 1.0
CONFIG = {
    "version": 1,
    "routes": [{"name": "r-batch", "host": HOST, "prefix": PREFIX, "kind": "unsafe",
                "timeoutMs": 3000, "sloMs": 1000, "priority": 0, "service": SERVICE,
                "attempts": 3, "stretch": 2.0}],
    "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
                  "tls": False, "enforcesCapacity": False, "spare": False}],
    "limits": {"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000},
}
GANG = {
    "spec": '{"ms":[9000],"gang":{"0":3},"saves":true}',
    "steps": [{"count": 3, "cpu": 1000, "memMb": 1000, "estMs": 9000, "gang": True,
               "savesProgress": True, "maxPerServer": 1}],
}


def case(world):
    world.put_config(CONFIG)
    world.start_all()
    time.sleep(3)
    ids = [f"5c0e7a21d94b36{n:02x}" for n in range(GANGS)]
    for gang in ids:
        assert world.submit(HOST, PREFIX + gang, GANG), "the submission is not accepted"
        time.sleep(0.12)
    time.sleep(4)
    if world.trouble:
        world.signal(f"runner {CRASHED}", signal.SIGKILL)
    crashed = time.monotonic()
    time.sleep(DOWN_S)
    if world.trouble:
        world.start_runner(CRASHED)
    states = {}
    until = time.monotonic() + 45
    while time.monotonic() < until and any(states.get(g) != "completed" for g in ids):
        time.sleep(1)
        for n, gang in enumerate(ids):
            if states.get(gang) != "completed":
                entry = world.entries[n % 3]
                states[gang] = world.client(entry, "GET", HOST, PREFIX + gang)[1].get("state")
    # No disruption is near an end that comes this long after the crash: the runner was back after
    # a second, and a run that began before its return has waited its time.
    calm = crashed + DOWN_S + (BOUNDS["stableWindowMs"] + 2 * BOUNDS["gangMs"]) / 1000
    events = world.events()
    alone = [e for e in events if e["event"] == "end" and e["how"] == "alone" and e["t"] > calm]
    if alone:
        runs = {}
        for e in events:
            if e["event"] == "start":
                key = (e["task"].rsplit(".", 1)[0], e["run"])
                runs.setdefault(key, {})[e["task"].rsplit(".", 1)[1]] = e["saved"] or "(none)"
        last = alone[-1]
        values = runs[(last["task"].rsplit(".", 1)[0], last["run"])]
        unfinished = [g for g in ids if states.get(g) != "completed"]
        return (f"GANG: {len(alone)} runs ended alone with no disruption near; the members of the "
                f"last were started with {values}; never completed: {unfinished}")
    return ""


run_case(case, FOLDER, entries=3, workers=7)
