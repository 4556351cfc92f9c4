"""Stand-ins for the users' platform: its store, runners and clients, and the programs under test.

They follow PROTOCOL.md and DEPLOY.md. The programs run as processes with the commands of
deploy/system.toml, each machine with a loopback address of its own.
"""

import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SETTINGS_VAR = "MONSOONTRESTLE_NODE_FILE"

SERVICE = "desk"
HOST = "desk.example"
ROUTE = "jobs"
PREFIX = "/jobs/"

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "syncS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "applyMs": 2000, "downgradeMs": 250,
    "skewMaxMs": 5000, "recoverS": 12, "holdMaxMs": 6000, "stopMs": 200, "gangMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "farX": 1.5, "checkpointIntervalS": 1, "restoreMs": 100, "noticeMs": 4500, "migrateS": 1.5,
    "maintenanceS": 2, "requireFence": False, "leaseMs": 3000, "thawMs": 300, "paceMs": 100,
    "harmMs": 4000,
}


class Record:
    """What was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now():8.3f}  {text}\n")
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, *args):
        self.channels = set()
        super().__init__(*args)

    def get_request(self):
        channel, address = super().get_request()
        self.channels.add(channel)
        return channel, address

    def shutdown_request(self, request):
        self.channels.discard(request)
        super().shutdown_request(request)

    def end(self):
        """Stops listening and ends all channels, as the end of a process does."""
        self.close_channels()
        self.shutdown()
        self.server_close()
        self.close_channels()

    def close_channels(self):
        for channel in list(self.channels):
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # The peer has closed it.

    def handle_error(self, request, client_address):
        """A peer that disconnects is no error of the stand-in."""


def serve(ip, port, handle):
    """Serves `handle(method, path, query, headers, body) -> (status, body)`; returns the server."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def answer(self):
            length = int(self.headers.get("Content-Length") or 0)
            raw = self.rfile.read(length)
            url = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(url.query).items()}
            try:
                body = json.loads(raw) if raw else {}
            except ValueError:
                body = None
            reply = handle(self.command, unquote(url.path), query, self.headers, body)
            if reply is None:
                # No answer: the channel is closed.
                self.close_connection = True
                return
            status, reply_body = reply
            data = b"" if reply_body is None else json.dumps(reply_body).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_DELETE = do_PUT = answer

        def log_message(self, *args):
            pass

    server = Server((ip, port), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The platform's metadata store."""

    def __init__(self, ip):
        self.changed = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.server = serve(ip, 0, self.handle)
        self.addr = "%s:%d" % self.server.server_address[:2]
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self):
        while True:
            time.sleep(0.01)
            with self.changed:
                now = time.monotonic()
                for lease in [l for l, (until, _) in self.leases.items() if until <= now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append({"key": key, "rev": self.revision, "deleted": True})
            self.changed.notify_all()

    def write(self, key, value, lease=0):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "rev": self.revision, "created": created,
                "lease": lease}
        self.items[key] = item
        self.events.append(dict(item))
        self.changed.notify_all()

    def operator_writes(self, key, value):
        with self.changed:
            self.revision += 1
            self.write(key, base64.b64encode(json.dumps(value).encode()).decode())

    def value(self, key):
        with self.changed:
            item = self.items.get(key)
            return base64.b64decode(item["value"]) if item else None

    def handle(self, method, path, query, headers, body):
        if path == "/v1/kv-watch":
            return self.watch(query)
        with self.changed:
            if path == "/v1/kv-key":
                item = self.items.get(query.get("key", ""))
                if item is None:
                    return 404, {"at": self.revision}
                return 200, {**item, "at": self.revision}
            if path == "/v1/kv-range":
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                return 200, {"items": [self.items[k] for k in keys[:500]],
                             "hasMore": len(keys) > 500, "at": self.revision}
            if path == "/v1/kv-lease":
                ttl = min(max(int(body["ttlMs"]), 1000), 600_000)
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": lease, "ttlMs": ttl}
            if path.startswith("/v1/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": lease, "ttlMs": ttl}
            if path.startswith("/v1/kv-lease-end/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                self.end_lease(lease)
                return 200, {}
            if path == "/v1/kv-txn":
                return self.transact(body)
        return 400, {}

    def transact(self, body):
        expected = body.get("expected", [])
        writes, deletes = body.get("writes", []), body.get("deletes", [])
        if len(expected) > 32 or len(writes) > 32 or len(deletes) > 32:
            return 400, {}
        rev = lambda key: self.items[key]["rev"] if key in self.items else 0
        if any(rev(row["key"]) != row["rev"] for row in expected):
            items = [self.items[row["key"]] for row in expected if row["key"] in self.items]
            return 412, {"items": items}
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        self.revision += 1
        for row in writes:
            self.write(row["key"], row["value"], row.get("lease") or 0)
        for key in deletes:
            self.remove(key)
        return 200, {"rev": self.revision}

    def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000
        with self.changed:
            while True:
                found = [e for e in self.events if e["rev"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found[:500], "at": self.revision}
                self.changed.wait(left)


class World:
    """What the runners share: the submissions that clients sent, and the gangs at work."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.RLock()
        self.jobs = {}
        self.gangs = {}
        self.runners = []
        # Rows of when, task, run, saved, runner.
        self.starts = []
        # Rows of when, task, run, how, saved, runner.
        self.ends = []

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)] if job in self.jobs else None


class Gang:
    """One run of a gang: works from the moment when all its members are present."""

    def __init__(self, size):
        self.size = size
        self.members = {}
        self.resumed_ms = None
        self.complete_at = None
        self.is_over = False


class Run:
    def __init__(self, task, number, saved, step):
        self.task, self.number, self.step = task, number, step
        self.saved = saved or ""
        self.base_ms = int(saved[:8], 16) if saved else 0
        self.at = time.monotonic()
        self.stop_at = None
        self.gang = None

    def work_ms(self, now):
        if self.gang is not None:
            if self.gang.complete_at is None:
                return self.base_ms
            return self.gang.resumed_ms + int((now - self.gang.complete_at) * 1000)
        return self.base_ms + int((now - self.at) * 1000)


class Runner:
    """A runner on a side machine; `life` numbers its starts."""

    def __init__(self, world, name, ip, port, control, zone, labels, clock_offset_ms=0):
        self.world, self.record = world, world.record
        self.name, self.ip, self.port = name, ip, port
        self.control, self.zone, self.labels = control, zone, labels
        # How far this machine's time of day is from true time.
        self.clock_offset_ms = clock_offset_ms
        self.capacity = {"cpu": 64000, "memMb": 256000, "gpu": 0}
        self.service = SERVICE
        self.life = 0
        self.is_up = False
        self.server = None
        self.acks = 0
        self.is_new = threading.Event()
        world.runners.append(self)
        threading.Thread(target=self.tick, daemon=True).start()
        threading.Thread(target=self.send_reports, daemon=True).start()

    def start(self):
        """Begins a life: nothing runs, nothing of an earlier one is known."""
        with self.world.lock:
            self.life += 1
            self.id = f"i-{self.name}-{self.life}"
            self.born = int(time.time() * 1000) + self.clock_offset_ms
            self.began = time.monotonic()
            self.seq = 0
            self.fence = 0
            self.deadline_ms = 0
            self.runs = {}
            self.finished = []
            self.next_end = 1
            self.highest = {}
            self.ended = threading.Condition(self.world.lock)
            self.is_up = True
        self.server = serve(self.ip, self.port, self.handle)
        self.is_new.set()
        self.record(f"runner {self.name}: life {self.life} begins as {self.id}, born {self.born}")

    def crash(self):
        """Ends a life with everything that runs."""
        with self.world.lock:
            self.is_up = False
            lost = list(self.runs.values())
            self.runs = {}
            for run in lost:
                self.world.ends.append(
                    (self.record.now(), run.task, run.number, "lost", run.saved, self.name))
                self.leave_gang(run)
        server, self.server = self.server, None
        if server:
            server.end()
        self.record(f"runner {self.name}: crashes with {len(lost)} runs")

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def report(self):
        self.seq += 1
        return {
            "service": self.service, "addr": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "coldMs": 0,
            "capacity": self.capacity, "labels": self.labels, "clockMs": self.clock_ms(),
            "seq": self.seq, "born": self.born,
        }

    def send_reports(self):
        while True:
            if self.is_up:
                status = post_report(self.control, self.id, self.report())
                self.acks += status == 200
            # A new life reports at once.
            self.is_new.wait(1.1)
            self.is_new.clear()

    def handle(self, method, path, query, headers, body):
        wait_until = None
        with self.world.lock:
            if not self.is_up:
                return None
            life = self.life
            expected = headers.get("X-Expect-Instance")
            if expected and expected != self.id:
                return 421, {"clockMs": self.clock_ms()}
            if path == "/v1/hold":
                fence = body.get("fence", 0)
                if fence < self.fence:
                    return self.reject("fence")
                self.fence = fence
                self.extend(body)
                acked = body.get("ackCursor", 0)
                self.finished = [row for row in self.finished if row[0] > acked]
                wait_until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
                while not self.finished and self.is_up and self.life == life:
                    left = wait_until - time.monotonic()
                    if left <= 0:
                        break
                    self.ended.wait(left)
                if not self.is_up or self.life != life:
                    return None
                return 200, self.lists()
            if path == "/v1/run-start":
                return self.start_run(body)
            if path == "/v1/run-stop":
                if body.get("fence", 0) < self.fence:
                    return self.reject("fence")
                self.fence = body.get("fence", 0)
                task, number = body["task"], body["run"]
                run = self.runs.get((task, number))
                if run:
                    run.stop_at = run.stop_at or time.monotonic() + 0.1
                else:
                    self.highest[task] = max(self.highest.get(task, 0), number)
                return 200, {"clockMs": self.clock_ms()}
            if path == "/v1/pace":
                return 200, {"clockMs": self.clock_ms()}
        return 400, {"clockMs": self.clock_ms()}

    def reject(self, reason):
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def extend(self, body):
        if body.get("deadlineMs"):
            longest = self.clock_ms() + BOUNDS["holdMaxMs"]
            self.deadline_ms = max(self.deadline_ms, min(body["deadlineMs"], longest))

    def lists(self):
        now = time.monotonic()
        rows = []
        for run in self.runs.values():
            total = run.step["ms"]
            percent = 100 if total is None else min(100, run.work_ms(now) * 100 // total)
            rows.append([run.task, run.number, run.saved, percent, run.step["cpu"]])
        return {"clockMs": self.clock_ms(), "born": self.born, "running": rows,
                "finished": [list(row) for row in self.finished[:500]]}

    def start_run(self, body):
        if body.get("fence", 0) < self.fence:
            return self.reject("fence")
        self.fence = body.get("fence", 0)
        task, number, saved = body["task"], body["run"], body.get("saved", "")
        if (task, number) in self.runs:
            return 200, {"clockMs": self.clock_ms()}
        self.extend(body)
        if number <= self.highest.get(task, 0):
            return self.reject("old")
        if self.clock_ms() >= self.deadline_ms:
            return self.reject("late")
        step = self.world.step_of(task)
        if step is None:
            self.record(f"runner {self.name}: told to start {task}, which no client sent")
            return 400, {"clockMs": self.clock_ms()}
        run = Run(task, number, saved, step)
        self.runs[(task, number)] = run
        if step.get("gang"):
            self.join_gang(run)
        self.world.starts.append((self.record.now(), task, number, saved, self.name))
        self.record(f"runner {self.name}: starts {task} run {number} saved {saved or '-'}")
        return 200, {"clockMs": self.clock_ms()}

    def join_gang(self, run):
        key = (run.task.rsplit(".", 1)[0], run.number)
        gang = self.world.gangs.setdefault(key, Gang(run.step["count"]))
        run.gang = gang
        gang.members[run.task] = (self, run)
        if len(gang.members) == gang.size and gang.complete_at is None:
            gang.complete_at = time.monotonic()
            gang.resumed_ms = min(r.base_ms for _, r in gang.members.values())

    def leave_gang(self, run):
        """A member has ended: the others end as broken."""
        gang = run.gang
        if gang is None or gang.is_over:
            return
        gang.is_over = True
        for runner, member in list(gang.members.values()):
            if member is not run and runner.is_up:
                runner.end(member, "broken")

    def end(self, run, how):
        if self.runs.pop((run.task, run.number), None) is None:
            return
        if how == "stopped" and run.step.get("savesProgress"):
            run.saved = saved_value(run.task, run.work_ms(time.monotonic()))
        saved = "" if how == "done" else run.saved
        self.finished.append((self.next_end, run.task, run.number, how, saved))
        self.next_end += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.world.ends.append(
            (self.record.now(), run.task, run.number, how, saved, self.name))
        self.record(f"runner {self.name}: ends {run.task} run {run.number} {how} "
                    f"saved {saved or '-'}")
        self.ended.notify_all()

    def tick(self):
        interval = BOUNDS["checkpointIntervalS"] * 1000
        while True:
            time.sleep(0.01)
            with self.world.lock:
                if not self.is_up:
                    continue
                now = time.monotonic()
                is_lapsed = self.clock_ms() >= self.deadline_ms
                for run in list(self.runs.values()):
                    if run.step.get("savesProgress") and run.work_ms(now) >= interval:
                        run.saved = saved_value(run.task, run.work_ms(now) // interval * interval)
                    gang = run.gang
                    if is_lapsed:
                        self.end(run, "lapsed")
                        self.leave_gang(run)
                    elif run.stop_at and run.stop_at <= now:
                        self.end(run, "stopped")
                        self.leave_gang(run)
                    elif gang and gang.complete_at is None and now - run.at > 3:
                        self.end(run, "alone")
                        self.leave_gang(run)
                    elif run.step["ms"] is not None and run.work_ms(now) >= run.step["ms"]:
                        if gang:
                            gang.is_over = True
                            for runner, member in list(gang.members.values()):
                                runner.end(member, "done")
                        else:
                            self.end(run, "done")


def saved_value(task, work_ms):
    """The work that is saved and a part of the submission's id, as in the page's example."""
    return "%08x%s" % (work_ms, task[4:12])


def post_report(control, runner, body):
    """Sends a liveness report; returns the status, or None without an answer in a second."""
    try:
        channel = http.client.HTTPConnection(control, timeout=1)
        channel.request("POST", f"/v1/instances/{runner}/heartbeat", json.dumps(body),
                        {"Content-Type": "application/json"})
        status = channel.getresponse().status
        channel.close()
        return status
    except (OSError, http.client.HTTPException):
        return None


class Machine:
    """A machine of the system: a program with its settings."""

    def __init__(self, name, program, settings, folder):
        self.name, self.program = name, program
        self.settings_file = os.path.join(folder, f"{name}.json")
        self.log = os.path.join(folder, f"{name}.log")
        with open(self.settings_file, "w", encoding="utf-8") as f:
            json.dump(settings, f)
        self.process = None

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env[SETTINGS_VAR] = self.settings_file
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(REPO, "target/release", self.program), "site"],
                cwd=REPO, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def send(self, sig):
        if self.process and self.process.poll() is None:
            self.process.send_signal(sig)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    def restart_after_kill(self, seconds):
        """Kills the process; it starts again after a short delay."""
        self.kill()
        time.sleep(seconds)
        self.start()


class Fleet:
    """A small deployment: entries in three zones, and side machines with a runner each."""

    def __init__(self, record, entries=3, runners=3, labels=None):
        for program in ("monsoontrestle", "monsoontrestle-companion"):
            if not os.access(os.path.join(REPO, "target/release", program), os.X_OK):
                raise RuntimeError(f"target/release/{program} is not built")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.store = Store(self.ip(250))
        self.world = World(record)
        self.zones = {f"zone-{z}": "region" for z in range(3)}
        self.entries, self.sides, self.runners = [], [], []
        for number in range(entries):
            ip = self.ip(10 + number)
            listen = {"front": f"{ip}:8161", "ready": f"{ip}:8167"}
            self.entries.append(self.machine(f"edge-{number}", "monsoontrestle", ip, number,
                                             listen, {"class": "edge", "serves": ["edge"]}))
        for number in range(runners):
            ip = self.ip(100 + number)
            control, app = f"{ip}:8166", f"{ip}:8360"
            machine = self.machine(f"side-{number}", "monsoontrestle-companion", ip, number,
                                   {"control": control},
                                   {"class": "side", "serves": ["side"], "app": app})
            self.sides.append(machine)
            kind = labels[number] if labels else ["a"]
            self.runners.append(Runner(self.world, f"r{number}", ip, 8360, control,
                                       f"zone-{number % 3}", kind + [f"r1-{number}"]))
        self.write_config(1)

    def ip(self, host):
        return f"{self.net}.{host}"

    def machine(self, name, program, ip, number, listen, more):
        is_edge = more["class"] == "edge"
        settings = {
            "node": name, "role": program, "ip": ip, "zone": f"zone-{number % 3}",
            "region": "region", "zones": self.zones, "listen": listen,
            "internalPorts": [7720, 7735], "seeds": [], "bootstrap": True,
            "limits": {"cpuShare": 0.25 if is_edge else 0.15, "cores": 1,
                       "memoryMb": 260 if is_edge else 128, "maxFds": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "dataDir": None, "discovery": "local", "entry": "vip", "heartbeatMs": 1100,
            "bounds": BOUNDS, "controlMode": "call",
            "platform": {"addr": self.store.addr, "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000},
            **more,
        }
        return Machine(name, program, settings, self.folder)

    def write_config(self, version):
        self.store.operator_writes("op/config", {
            "version": version,
            "routes": [{"name": ROUTE, "host": HOST, "prefix": PREFIX, "service": SERVICE,
                        "priority": 0, "attempts": 3, "stretch": 2.0, "sloMs": 1000}],
            "services": [{"name": SERVICE, "enforcesCapacity": False}],
            "limits": {"bodyBytes": 262144},
        })

    def start(self):
        for machine in self.entries + self.sides:
            machine.start()
        for runner in self.runners:
            runner.start()

    def wait_until_ready(self, seconds=15):
        until = time.monotonic() + seconds
        waiting = [f"{self.ip(10 + n)}:8167" for n in range(len(self.entries))]
        while waiting:
            if time.monotonic() > until:
                raise RuntimeError("the entries are not ready")
            waiting = [addr for addr in waiting if not is_ready(addr)]
            time.sleep(0.1)

    def owner(self):
        """Returns the machine that last wrote the owner's key, by the name in the key's value."""
        value = self.store.value("mt/owner") or b""
        for machine in self.entries:
            if machine.name.encode() in value:
                return machine
        return None

    def stop(self, keep_logs_in=None):
        for runner in self.runners:
            runner.is_up = False
        for machine in self.entries + self.sides:
            machine.send(signal.SIGCONT)
            machine.kill()
        if keep_logs_in:
            shutil.copytree(self.folder, keep_logs_in, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def client(self):
        return Client(self)


def is_ready(addr):
    try:
        channel = http.client.HTTPConnection(addr, timeout=1)
        channel.request("GET", "/v1/ready")
        status = channel.getresponse().status
        channel.close()
        return status == 200
    except (OSError, http.client.HTTPException):
        return False


class Client:
    """A client: each attempt at another node, as the balancer does."""

    def __init__(self, fleet):
        self.fleet, self.record = fleet, fleet.record
        self.turn = random.randrange(len(fleet.entries))

    def call(self, method, path, body=None, limit_s=3.0, quiet=False):
        """Makes one call; returns status and body, or (None, None) without a whole answer."""
        self.turn += 1
        number = self.turn % len(self.fleet.entries)
        addr = f"{self.fleet.ip(10 + number)}:8161"
        try:
            channel = http.client.HTTPConnection(addr, timeout=limit_s)
            data = json.dumps(body) if body is not None else None
            channel.request(method, PREFIX + path, data, {
                "Host": HOST, "Content-Type": "application/json",
                "X-Deadline-Ms": str(int(limit_s * 1000))})
            answer = channel.getresponse()
            text = answer.read()
            status = answer.status
            channel.close()
        except (OSError, http.client.HTTPException):
            status, text = None, b""
        try:
            reply = json.loads(text) if text else {}
        except ValueError:
            reply = {}
        if not quiet:
            self.record(f"client: {method} {path} at edge-{number} -> {status} {reply or ''}")
        return status, reply

    def submit(self, steps, retries=4, spec=None):
        """Hands a submission in; returns its id and whether it was accepted.

        `ms` of a step is for the runners alone: how long a task works, None for one that lasts.
        """
        job = "%016x" % random.getrandbits(64)
        with self.fleet.world.lock:
            self.fleet.world.jobs[job] = {"steps": steps}
        wire = [{k: v for k, v in step.items() if k != "ms"} for step in steps]
        for _ in range(retries + 1):
            status, _ = self.call("POST", job, {"spec": spec or f"work of {job}", "steps": wire})
            if status and 200 <= status < 300:
                return job, True
            time.sleep(1.0)
        return job, False

    def state(self, job, quiet=True):
        status, reply = self.call("GET", job, quiet=quiet)
        return status, reply.get("state")


def run_case(folder, make_fleet, case):
    """Runs a case and exits: with 1 if it broke the rule, 0 if it did not, 2 if it could not run.

    `case(record, fleet, has_trouble)` returns what it saw of the rule being broken.
    """
    record = Record(folder)
    fleet, code = None, 2
    try:
        fleet = make_fleet(record)
        fleet.start()
        fleet.wait_until_ready()
        # The runners have reported and the owner knows them.
        time.sleep(5)
        broken = case(record, fleet, os.environ.get("TROUBLE") != "0")
        for line in broken:
            record(line)
        record(f"verdict: {'broken' if broken else 'held'}")
        code = 1 if broken else 0
    except Exception as e:  # Whatever it is, the case has not shown anything.
        record(f"could not run: {type(e).__name__}: {e}")
    finally:
        if fleet:
            fleet.stop(os.environ.get("KEEP_LOGS"))
        record.close()
    sys.stdout.flush()
    os._exit(code)
