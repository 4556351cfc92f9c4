"""A stand-in for a runner, as PROTOCOL.md describes it: one process is one life of it.

The first argument is its settings as JSON. What it is told and what it runs is appended to the
file `log`, a JSON object a line, with the time of the steady clock.

A submission's `spec` is JSON: `ms` is the duration of a task by step, `lasts` says that tasks run until
they are stopped. Gangs, saved progress, filling tasks and tickets are not played.
"""

import http.client
import json
import os
import socket
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from store import Server

CFG = json.loads(sys.argv[1])
if CFG["waits"]:
    # Starts once told, so that its start takes no time.
    sys.stdin.readline()
BORN = int(time.time() * 1000)
START = time.monotonic()
LOCK = threading.Condition()
RUNS = {}  # (task, run) -> dict
FINISHED = []  # [n, task, run, how, saved]
CPU_GAUGE = 1000
LAST = {}  # task -> highest run ended or stopped here
STATE = {"fence": 0, "deadline": 0, "next": 1, "seq": 0, "leased": False}
LOG = open(CFG["log"], "a", buffering=1)


def log(event, **fields):
    row = {"t": round(time.monotonic(), 4), "runner": CFG["id"], "born": BORN, "event": event}
    LOG.write(json.dumps({**row, **fields}) + "\n")


def clock_ms():
    return int((time.monotonic() - START) * 1000)


def end(key, how):
    del RUNS[key]
    task, number = key
    FINISHED.append([STATE["next"], task, number, how, ""])
    STATE["next"] += 1
    LAST[task] = max(LAST.get(task, 0), number)
    log("end", task=task, run=number, how=how, n=STATE["next"] - 1)
    LOCK.notify_all()


def work():
    """Advances all runs."""
    last = time.monotonic()
    while True:
        time.sleep(0.02)
        now = time.monotonic()
        passed, last = (now - last) * 1000, now
        with LOCK:
            if clock_ms() > STATE["deadline"]:
                if STATE["leased"]:
                    STATE["leased"] = False
                    log("lease ended")
                for key in list(RUNS):
                    end(key, "lapsed")
            for key, run in list(RUNS.items()):
                advance(key, run, now, passed)


def advance(key, run, now, passed):
    if run["stop_at"] is not None:
        if now >= run["stop_at"]:
            end(key, "stopped")
        return
    run["did"] += passed
    if not run["lasts"] and run["did"] >= run["ms"]:
        end(key, "done")


def hold(body):
    with LOCK:
        if not accepts(body):
            return 409, {"reason": "fence"}
        extend(body)
        forget(body)
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not FINISHED and time.monotonic() < until:
            LOCK.wait(until - time.monotonic())
        forget(body)
        running = [
            [key[0], key[1], "", percent(run), CPU_GAUGE] for key, run in RUNS.items()
            if run["stop_at"] is None
        ]
        return 200, {"running": running, "finished": FINISHED[:500]}


def forget(body):
    """Forgets the ends that a call's cursor reaches, when it arrives and when it is answered."""
    cursor = body.get("ackCursor", 0)
    if any(row[0] <= cursor for row in FINISHED):
        log("acked", upto=cursor, fence=body.get("fence", 0))
    FINISHED[:] = [row for row in FINISHED if row[0] > cursor]


def percent(run):
    if run["lasts"]:
        return 100 if run["did"] > 200 else 0
    return min(99, int(run["did"] * 100 / run["ms"]))


def accepts(body):
    if body.get("fence", 0) < STATE["fence"]:
        return False
    STATE["fence"] = body.get("fence", 0)
    return True


def extend(body):
    if "deadlineMs" in body:
        allowed = min(body["deadlineMs"], clock_ms() + CFG["holdMaxMs"])
        STATE["deadline"] = max(STATE["deadline"], allowed)
        STATE["leased"] = clock_ms() <= STATE["deadline"]


def start(body):
    task, number = body["task"], body["run"]
    with LOCK:
        if not accepts(body):
            return 409, {"reason": "fence"}
        extend(body)
        if (task, number) in RUNS:
            return 200, {}
        if LAST.get(task, 0) >= number:
            return 409, {"reason": "old"}
        if clock_ms() > STATE["deadline"]:
            return 409, {"reason": "late"}
        spec = json.loads(body["spec"])
        step = int(task.split(".")[2])
        run = {"ms": spec["ms"][step], "lasts": spec.get("lasts", False), "did": 0.0, "stop_at": None}
        RUNS[(task, number)] = run
        log("start", task=task, run=number, fence=body.get("fence", 0))
        return 200, {}


def stop(body):
    task, number = body["task"], body["run"]
    with LOCK:
        if not accepts(body):
            return 409, {"reason": "fence"}
        LAST[task] = max(LAST.get(task, 0), number)
        run = RUNS.get((task, number))
        if run is not None and run["stop_at"] is None:
            log("stop", task=task, run=number)
            run["stop_at"] = time.monotonic() + CFG["stopMs"] / 2000
        return 200, {}


def pace(body):
    with LOCK:
        return (200, {}) if accepts(body) else (409, {"reason": "fence"})


CALLS = {"/v1/hold": hold, "/v1/run-start": start, "/v1/run-stop": stop, "/v1/pace": pace}


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers.get("Content-Length") or 0)) or b"{}")
        expected = self.headers.get("X-Expect-Instance")
        if expected not in (None, CFG["id"]):
            status, reply = 421, {}
        else:
            status, reply = CALLS[self.path](body)
        data = json.dumps({**reply, "clockMs": clock_ms(), "born": BORN}).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    def log_message(self, *args):
        pass


def beat():
    """Sends heartbeats."""
    while True:
        STATE["seq"] += 1
        body = {
            "service": CFG["service"], "addr": CFG["addr"], "zone": CFG["zone"], "version": "v1",
            "slots": 8, "state": "ready", "coldMs": 0, "capacity": CFG["capacity"],
            "labels": CFG["labels"], "clockMs": clock_ms(), "seq": STATE["seq"], "born": BORN,
        }
        pause = CFG["heartbeatMs"] / 1000
        try:
            ip, port = CFG["control"].split(":")
            connection = http.client.HTTPConnection(ip, int(port), timeout=1)
            path = f"/v1/instances/{CFG['id']}/heartbeat"
            connection.request("POST", path, json.dumps(body), {"Content-Type": "application/json"})
            if connection.getresponse().status != 200:
                pause = 0.1
            connection.close()
        except OSError:
            pause = 0.1
        time.sleep(pause)


def main():
    ip, port = CFG["addr"].split(":")
    server = Server((ip, int(port)), Handler, bind_and_activate=CFG["fd"] is None)
    if CFG["fd"] is not None:
        # The socket stays open while the runner restarts.
        server.socket.close()
        server.socket = socket.fromfd(CFG["fd"], socket.AF_INET, socket.SOCK_STREAM)
        server.server_address = (ip, int(port))
    log("up")
    threading.Thread(target=work, daemon=True).start()
    threading.Thread(target=beat, daemon=True).start()
    server.serve_forever()


main()
