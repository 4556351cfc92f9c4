"""A version of the config drops a queue and adds one of another name at the same host and prefix."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
from world import BOUNDS, SERVICE, run_case

HOST, PREFIX = "desk.example", "/watch/"
KEPT, CANCELLED = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
WATCHER = {
    "spec": '{"ms":[1000],"lasts":true}',
    "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "estMs": 1000, "longRunning": True}],
}


def config(version, name, timeout_ms):
    return {
        "version": version,
        "routes": [{"name": name, "host": HOST, "prefix": PREFIX, "kind": "unsafe",
                    "timeoutMs": timeout_ms, "sloMs": 2500, "priority": 0, "service": SERVICE,
                    "attempts": 3, "stretch": 2.0}],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
                      "tls": False, "enforcesCapacity": False, "spare": False}],
        "limits": {"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000},
    }


def case(world):
    world.put_config(config(1, "r-watch", 3000))
    world.start_all()
    time.sleep(3)
    for job in (KEPT, CANCELLED):
        assert world.submit(HOST, PREFIX + job, WATCHER), "the submission is not accepted"
    time.sleep(3)
    started = {e["task"].split(".")[0] for e in world.events() if e["event"] == "start"}
    assert started == {KEPT, CANCELLED}, "a watcher has not started"
    # Without the disruption the new version only changes a time-out.
    world.put_config(config(2, "r-style-watch" if world.trouble else "r-watch", 2500))
    time.sleep((BOUNDS["applyMs"] + BOUNDS["visible_ms"]) / 1000 + 1)
    broken = []
    gone = 0
    for n in range(6):
        status, _ = world.client(world.entries[n % 3], "GET", HOST, PREFIX + KEPT)
        gone += status == 410
        time.sleep(0.5)
    if gone:
        broken.append(f"LOST: {gone} of 6 GETs for an accepted submission that nobody has "
                      "cancelled are answered 410")
    acked = None
    for n in range(10):
        status, _ = world.client(world.entries[n % 3], "DELETE", HOST, PREFIX + CANCELLED)
        if status in (200, 410):
            acked = time.monotonic()
            break
        time.sleep(0.5)
    assert acked, "the cancel is not answered"
    time.sleep((BOUNDS["cancel_ms"] + BOUNDS["stopMs"]) / 1000 + 3)
    running = {}
    for e in world.events():
        if e.get("task", "").startswith(CANCELLED) and e["event"] in ("start", "end"):
            running[(e["task"], e["run"])] = e["event"] == "start"
    still = [f"{task} run {run}" for (task, run), runs in running.items() if runs]
    if still:
        late = round(time.monotonic() - acked, 1)
        broken.append(f"UNASKED: {late} s after its cancel was acknowledged runs on: {still}")
    return "; ".join(broken)


run_case(case, FOLDER, entries=3, workers=3)
