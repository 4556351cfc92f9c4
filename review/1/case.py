"""One liveness report of another writer, and the work that only one runner may do."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

from idle import FINISH_S, gaps_of_lasting, idle_after_traffic  # noqa: E402
from standins import Fleet, post_report, run_case  # noqa: E402


def case(record, fleet, has_trouble):
    client = fleet.client()
    on_b = {"cpu": 1000, "memMb": 256, "requiredLabel": "b"}
    standing, is_standing = client.submit(
        [{"count": 1, "longRunning": True, "ms": None, "estMs": 60000, **on_b}])
    before, is_before = client.submit([{"count": 2, "ms": 500, "estMs": 500, **on_b}])
    time.sleep(4)
    if not (is_standing and is_before and client.state(before)[1] == "completed"):
        raise RuntimeError("the deployment does not work before the disruption")
    runner = fleet.runners[2]
    if has_trouble:
        body = {"service": "other-desk", "addr": f"{runner.ip}:9360", "zone": runner.zone,
                "version": "v1", "slots": 8, "state": "ready", "coldMs": 0,
                "capacity": {"cpu": 4000, "memMb": 8000, "gpu": 0}, "labels": [],
                "clockMs": 1000, "seq": 1, "born": int(time.time() * 1000) - 1000}
        status = post_report(runner.control, "i-other-1", body)
        record(f"another writer: liveness report of i-other-1 for other-desk -> {status}")
    time.sleep(1)
    acks = runner.acks
    job, is_accepted = client.submit([{"count": 2, "ms": 500, "estMs": 500, **on_b}])
    traffic_ends = record.now()
    if not is_accepted:
        raise RuntimeError("the submission is not accepted")
    time.sleep(FINISH_S + 10)
    end = record.now()
    _, state = client.state(job, quiet=False)
    record(f"runner r2: {runner.acks - acks} of its liveness reports were answered 200 since")
    broken = []
    if state != "completed":
        for a, b in idle_after_traffic(fleet.world, job, traffic_ends, end):
            broken.append(f"LOST: submission {job} is {state} and has nothing running from "
                          f"{a:.1f} to {b:.1f}, {FINISH_S} s and more after the traffic's end")
    for a, b in gaps_of_lasting(fleet.world, standing, end):
        broken.append(f"LOST: {standing} is to last and does not run from {a:.1f} to {b:.1f}")
    return broken


def make_fleet(record):
    return Fleet(record, entries=3, runners=3, labels=[["a"], ["a"], ["b"]])


if __name__ == "__main__":
    run_case(FOLDER, make_fleet, case)
