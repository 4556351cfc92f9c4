"""A standing submission whose tasks fail at once: is the other accepted work still done?"""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import desk as stand_ins


# The size of the site vakaloloma-trestle.
WORKERS = 11
CORES = 64
# With the one that can never be done, 20 standing submissions: a share of 0.05.
WATCHES = 19
FAILS_S = 0.1
# Standing submissions of the site have 12 tasks at most.
HOPELESS_TASKS = 12
QUIET_S = 6
TRAFFIC_S = 10
WINDOW_S = 3
TASKS = {"/refcheck/": 6, "/proofpass/": 8}


def watch(desk, spec, count):
    return desk.submit("/stylewatch/", dict(spec, cpu=1000, lasts=True), [
        {"count": count, "cpu": 1000, "memMb": 500, "longRunning": True, "image": "watch"}])


def refcheck(desk):
    return desk.submit("/refcheck/", {"s": 1.0, "cpu": 960}, [
        {"count": TASKS["/refcheck/"], "cpu": 960, "memMb": 1900, "estMs": 1000}])


def proofpass(desk):
    return desk.submit("/proofpass/", {"s": 2.2, "cpu": 7000}, [
        {"count": TASKS["/proofpass/"], "cpu": 7000, "memMb": 13000, "estMs": 2200}])


def idle_throughout(desk, record, jobs):
    """Returns the unfinished submissions that have nothing running for WINDOW_S, while under half of
    the cores are in use: then there is room for each of them more than twice over."""
    idle = dict(jobs)
    most = 0
    until = time.monotonic() + WINDOW_S
    while time.monotonic() < until:
        with desk.world.lock:
            workers = list(desk.worker.values())
            used = sum(w.used() for w in workers)
            running = {task.split(".")[0] for w in workers for task, _ in w.runs}
            done = [end[2].split(".")[0] for end in desk.world.ends if end[4] == "done"]
        most = max(most, used)
        for job, path in list(idle.items()):
            if job in running or done.count(job) == TASKS[path]:
                del idle[job]
        time.sleep(0.02)
    record.add(f"cores in use at most: {most / 1000:.0f} of {WORKERS * CORES}")
    return idle if most < WORKERS * CORES * 1000 / 2 else {}


def case(new_desk, record):
    desk = new_desk(entries=3, workers=WORKERS, cores=CORES, routes=[
        stand_ins.route("stylewatch", "/stylewatch/", 0, 3),
        stand_ins.route("refcheck", "/refcheck/", 0, 3),
        stand_ins.route("proofpass", "/proofpass/", 2, 4)])
    desk.start()
    for _ in range(WATCHES):
        watch(desk, {}, 1)
    if stand_ins.is_trouble():
        record.add("TROUBLE a standing submission comes that can never be done")
        watch(desk, {"fails_s": FAILS_S}, HOPELESS_TASKS)
    time.sleep(QUIET_S)
    jobs = {}
    until = time.monotonic() + TRAFFIC_S
    while time.monotonic() < until:
        jobs[refcheck(desk)] = "/refcheck/"
        jobs[proofpass(desk)] = "/proofpass/"
        time.sleep(1)
    record.add("end of the traffic")
    time.sleep(stand_ins.FINISH_S)
    idle = idle_throughout(desk, record, jobs)
    broken = []
    for job, path in jobs.items():
        status, reply = desk.request("GET", f"{path}{job}")
        if job in idle:
            starts = sum(start[2].startswith(job) for start in desk.world.starts)
            broken.append(f"LOST: {path}{job} has nothing running for {WINDOW_S} s; it is told "
                          f"{status} {reply.get('state')} and has had {starts} starts")
    return broken


stand_ins.main(HERE, case)
