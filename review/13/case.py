"""A runner goes down and up by turns; the only one with the label that a standing task requires."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
from world import SERVICE, run_case

HOST, PREFIX, ID = "desk.example", "/watch/", "5c0e7a21d94b36f8"
FLAPPING = "side-0"
DOWN_S, UP_S, FLAP_S = 0.7, 0.7, 6.5
CONFIG = {
    "version": 1,
    "routes": [{"name": "r-watch", "host": HOST, "prefix": PREFIX, "kind": "unsafe",
                "timeoutMs": 3000, "sloMs": 2500, "priority": 0, "service": SERVICE,
                "attempts": 3, "stretch": 2.0}],
    "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
                  "tls": False, "enforcesCapacity": False, "spare": False}],
    "limits": {"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000},
}
WATCHER = {
    "spec": '{"ms":[1000],"lasts":true}',
    "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "estMs": 1000, "longRunning": True,
               "requiredLabel": "b"}],
}


def case(world):
    world.put_config(CONFIG)
    world.start_all()
    time.sleep(3)
    assert world.submit(HOST, PREFIX + ID, WATCHER), "the submission is not accepted"
    time.sleep(4)
    until = time.monotonic() + FLAP_S
    while world.trouble and time.monotonic() < until:
        down = time.monotonic()
        world.signal(f"runner {FLAPPING}", signal.SIGKILL)
        world.prepare_runner(FLAPPING)
        time.sleep(max(0, down + DOWN_S - time.monotonic()))
        world.begin_runner(FLAPPING)
        time.sleep(max(0, down + DOWN_S + UP_S - time.monotonic()))
    world.record("the runner stays up from here on")
    states = []
    for n in range(20):
        time.sleep(1)
        status, body = world.client(world.entries[n % 3], "GET", HOST, PREFIX + ID)
        states.append(body.get("state") if status == 200 else status)
    ends = [e["how"] for e in world.events() if e["event"] == "end"]
    shown = [s for s in states if s in ("failed", "cancelled", 410)]
    if shown:
        return (f"LOST: shown as {shown[0]!r} in {len(shown)} of {len(states)} answers; "
                f"ends that runners listed: {ends}")
    started = [e for e in world.events() if e["event"] == "start"]
    last = started[-1]["t"] - world.began if started else None
    world.record(f"last start at {last}, states {states}")
    return ""


run_case(case, FOLDER, entries=3, workers=10,
         labels={FLAPPING: ["b", "r1-1"]})
