"""A wide submission with a long `spec`."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

from idle import FINISH_S, idle_after_traffic  # noqa: E402
from standins import Fleet, run_case  # noqa: E402

# PROTOCOL.md: `spec` is a string of up to 4,000 bytes.
SPEC_BYTES = 4000
WIDE = 4000
ORDINARY = 300


def case(record, fleet, has_trouble):
    client = fleet.client()
    count = WIDE if has_trouble else ORDINARY
    step = {"count": count, "cpu": 20, "memMb": 16, "ms": 500, "estMs": 500}
    job, is_accepted = client.submit([step], spec="x" * SPEC_BYTES)
    traffic_ends = record.now()
    if not is_accepted:
        raise RuntimeError("the submission is not accepted")
    time.sleep(FINISH_S + 10)
    end = record.now()
    _, state = client.state(job, quiet=False)
    if state == "completed":
        return []
    return [f"LOST: submission {job} is {state} and has nothing running from {a:.1f} to {b:.1f}"
            for a, b in idle_after_traffic(fleet.world, job, traffic_ends, end)]


def make_fleet(record):
    return Fleet(record, entries=3, runners=3)


if __name__ == "__main__":
    run_case(FOLDER, make_fleet, case)
