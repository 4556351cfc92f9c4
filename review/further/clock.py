"""A runner that crashes before and after its machine's time of day jumps back."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

from idle import FINISH_S, gaps_of_lasting, idle_after_traffic  # noqa: E402
from standins import Fleet, run_case  # noqa: E402

# `kinds`: "the time of day jumps by x ms (2000)".
JUMP_MS = 2000


def case(record, fleet, has_trouble):
    client = fleet.client()
    on_b = {"cpu": 1000, "memMb": 256, "requiredLabel": "b"}
    lasting, _ = client.submit(
        [{"count": 1, "longRunning": True, "ms": None, "estMs": 60000, **on_b}])
    time.sleep(2)
    runner = fleet.runners[2]
    runner.clock_offset_ms = JUMP_MS if has_trouble else 0
    for pause in (2.0, 0.6):
        time.sleep(pause)
        runner.crash()
        time.sleep(0.3)
        runner.start()
        runner.clock_offset_ms = 0
    time.sleep(3)
    job, is_accepted = client.submit([{"count": 2, "ms": 500, "estMs": 500, **on_b}])
    traffic_ends = record.now()
    if not is_accepted:
        raise RuntimeError("the submission is not accepted")
    time.sleep(FINISH_S + 8)
    end = record.now()
    broken = [f"LOST: {lasting} is to last and does not run from {a:.1f} to {b:.1f}"
              for a, b in gaps_of_lasting(fleet.world, lasting, end)]
    if client.state(job, quiet=False)[1] != "completed":
        broken += [f"LOST: submission {job} has nothing running from {a:.1f} to {b:.1f}"
                   for a, b in idle_after_traffic(fleet.world, job, traffic_ends, end)]
    return broken


def make_fleet(record):
    return Fleet(record, entries=3, runners=3, labels=[["a"], ["a"], ["b"]])


if __name__ == "__main__":
    run_case(FOLDER, make_fleet, case)
