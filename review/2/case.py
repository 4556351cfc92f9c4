"""A submission with many small tasks, of which each runner may run a share."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

from idle import FINISH_S, gaps_of_lasting, idle_after_traffic  # noqa: E402
from standins import Fleet, run_case  # noqa: E402

RUNNERS = 11
# The tasks of the submission, and how many of them one runner may run.
WIDE = (10_000, 1_000)
ORDINARY = (36, 6)


def case(record, fleet, has_trouble):
    client = fleet.client()
    small = {"count": 3, "cpu": 500, "memMb": 64, "ms": 200, "estMs": 200}
    before, _ = client.submit([small])
    time.sleep(2)
    if client.state(before)[1] != "completed":
        raise RuntimeError("the deployment does not work before the disruption")
    lasting, is_lasting = client.submit(
        [{"count": 3, "longRunning": True, "ms": None, "cpu": 1000, "memMb": 256,
          "estMs": 60000}])
    steady, is_steady = client.submit(
        [{**small, "ms": 4000, "estMs": 4000}, {**small, "after": [0]}])
    if not (is_lasting and is_steady):
        raise RuntimeError("the ordinary submissions are not accepted")
    time.sleep(1)
    count, most = WIDE if has_trouble else ORDINARY
    step = {"count": count, "cpu": 20, "memMb": 2, "ms": 500, "estMs": 500, "maxPerServer": most}
    record(f"client: submits {count} tasks of {step['cpu']} thousandths of a core, "
           f"{count * step['cpu'] / 1000:.0f} of {64 * RUNNERS} cores in all")
    wide, is_accepted = client.submit([step])
    traffic_ends = record.now()
    time.sleep(FINISH_S + 8)
    end = record.now()
    looks = {job: ask(client, job) for job in (steady, wide)}
    with fleet.world.lock:
        begun = len({task for _, task, *_ in fleet.world.starts if task.startswith(wide)})
    record(f"{begun} of {count} tasks have been started")
    broken = []
    for job, name, is_known in ((steady, "ordinary", True), (wide, "wide", is_accepted)):
        if is_known and looks[job] != "completed":
            for a, b in idle_after_traffic(fleet.world, job, traffic_ends, end):
                broken.append(f"LOST: the {name} submission {job}, accepted with 200, has nothing "
                              f"running from {a:.1f} to {b:.1f}, {FINISH_S} s and more after the "
                              f"traffic's end; it is shown as {looks[job]}")
    for a, b in gaps_of_lasting(fleet.world, lasting, end):
        broken.append(f"LOST: {lasting} is to last and does not run from {a:.1f} to {b:.1f}")
    return broken


def ask(client, job):
    """Asks for a submission's state at each entry in turn; returns it, or None without an answer."""
    for _ in range(4):
        status, state = client.state(job, quiet=False)
        if status == 200:
            return state
    return None


def make_fleet(record):
    return Fleet(record, entries=3, runners=RUNNERS)


if __name__ == "__main__":
    run_case(FOLDER, make_fleet, case)
