"""A worker turns its starts away for a while, and the owner changes: does a task still run after it?"""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import desk as stand_ins


# Ten workers, three a rack: the last rack has one.
WORKERS = 10
CORES = 64
# The longest time that a worker of the site fails requests, and the pause before the next time.
UNHEALTHY_S = 6.5
HEALTHY_S = 2
MAX_TIMES = 8
# How many starts it has turned away when the owner is killed.
MIN_SHED = 1100
# After this the entries and the worker have long been calm.
CALM_S = 15
WINDOW_S = 7


def is_idle_throughout(desk, worker, job):
    until = time.monotonic() + WINDOW_S
    while time.monotonic() < until:
        with desk.world.lock:
            workers = desk.worker.values()
            if any(task.startswith(job) for w in workers for task, _ in w.runs):
                return False
            if not worker.is_up or worker.is_shedding:
                return False
        time.sleep(0.02)
    return True


def trouble(desk, record, worker):
    """The worker is unhealthy some times; during the last time, the owner is killed."""
    for _ in range(MAX_TIMES):
        record.add(f"TROUBLE worker {worker.name} fails what it runs and sheds starts")
        worker.is_shedding = True
        worker.fail_all()
        until = time.monotonic() + UNHEALTHY_S
        killed = None
        while time.monotonic() < until:
            time.sleep(0.05)
            if worker.shed >= MIN_SHED and not killed:
                killed = desk.owner()
                record.add(f"TROUBLE the owner is killed, after {worker.shed} starts turned away")
                desk.kill(killed)
                time.sleep(0.5)
                desk.start_process(killed)
        worker.is_shedding = False
        record.add(f"worker {worker.name} is healthy; {worker.shed} starts turned away so far")
        if killed:
            return
        time.sleep(HEALTHY_S)
    raise stand_ins.CannotRun(f"only {worker.shed} starts were turned away")


def case(new_desk, record):
    desk = new_desk(entries=3, workers=WORKERS, cores=CORES, routes=[
        stand_ins.route("stylewatch", "/stylewatch/", 0, 3)])
    desk.start()
    worker = desk.worker[f"w{WORKERS}"]
    rack = worker.labels[1]
    job = desk.submit("/stylewatch/", {"lasts": True, "cpu": 1000}, [
        {"count": 1, "cpu": 1000, "memMb": 500, "longRunning": True, "image": "watch",
         "requiredLabel": rack}])
    time.sleep(HEALTHY_S)
    if stand_ins.is_trouble():
        trouble(desk, record, worker)
    time.sleep(CALM_S)
    broken = []
    if is_idle_throughout(desk, worker, job):
        status, reply = desk.request("GET", f"/stylewatch/{job}")
        last = max(start[3] for start in desk.world.starts)
        broken.append(f"LOST: {job}, which lasts, has nothing running for {WINDOW_S} s, {CALM_S} s "
                      f"after the worker was healthy again; it is told {status} "
                      f"{reply.get('state')}; its last run was {last}")
    return broken


stand_ins.main(HERE, case)
