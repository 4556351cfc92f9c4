"""Gangs that save their progress, and a runner that crashes under them."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

from standins import Fleet, run_case  # noqa: E402

GANGS = 60
# The largest dose of `srv_crash` in the site file.
CRASH_FOR_S = 4.5
LONGEST_WAIT_S = 40


def mixed_starts(world):
    """Returns the gang runs whose members were not all started with the same `saved`."""
    runs = {}
    for _, task, number, saved, _ in world.starts:
        runs.setdefault((task.rsplit(".", 1)[0], number), {})[task] = saved
    return {key: saved for key, saved in runs.items() if len(set(saved.values())) > 1}


def hand_in_gangs(fleet):
    """Submits gangs over one checkpoint interval, so that their checkpoints are spread evenly."""
    jobs, threads = [], []

    def hand_in():
        step = {"count": 3, "cpu": 500, "memMb": 256, "ms": 9000, "estMs": 9000,
                "gang": True, "savesProgress": True, "maxPerServer": 1}
        jobs.append(fleet.client().submit([step]))

    for _ in range(GANGS):
        thread = threading.Thread(target=hand_in)
        thread.start()
        threads.append(thread)
        time.sleep(1.0 / GANGS)
    for thread in threads:
        thread.join()
    return [job for job, is_accepted in jobs if is_accepted]


def case(record, fleet, has_trouble):
    """Two rounds, each with gangs of its own and the crash of another runner."""
    for runner in fleet.runners[1:]:
        run_round(record, fleet, runner if has_trouble else None)
    with fleet.world.lock:
        mixed = mixed_starts(fleet.world)
        resumed = {task.rsplit(".", 1)[0] for _, task, _, saved, _ in fleet.world.starts if saved}
    record(f"{len(resumed)} gangs were started again with a saved value")
    return [f"UNASKED: run {number} of gang {gang} was started with differing values: {saved}"
            for (gang, number), saved in mixed.items()]


def run_round(record, fleet, crashing):
    client = fleet.client()
    open_jobs = hand_in_gangs(fleet)
    record(f"{len(open_jobs)} of {GANGS} gangs were accepted")
    time.sleep(3.5)
    if crashing:
        crashing.crash()
        time.sleep(CRASH_FOR_S)
        crashing.start()
    until = time.monotonic() + LONGEST_WAIT_S
    while open_jobs and time.monotonic() < until:
        open_jobs = [job for job in open_jobs if client.state(job)[1] != "completed"]
        time.sleep(0.5)
    if open_jobs:
        raise RuntimeError(f"{len(open_jobs)} gangs are not completed")


def make_fleet(record):
    return Fleet(record, entries=3, runners=3)


if __name__ == "__main__":
    run_case(FOLDER, make_fleet, case)
