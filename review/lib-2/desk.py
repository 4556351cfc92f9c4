"""Stand-ins of the platform for the cases of this review: the store, workers and clients.

Python's standard library only. All servers listen on loopback addresses, one address for each VM.
The programs under test are started as separate processes with the commands of deploy/system.toml.
"""

import base64
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ENTRY = ["target/release/monsoontrestle", "site"]
COMPANION = ["target/release/monsoontrestle-companion", "site"]

# Bounds of a small deployment, as in the settings of the site vakaloloma-trestle.
HOLD_MAX_MS = 6000
STOP_MS = 200
GANG_MS = 3000
FINISH_S = 14
HEARTBEAT_S = 1.1


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, *args):
        self.channels = set()
        super().__init__(*args)

    def process_request(self, request, client_address):
        self.channels.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.channels.discard(request)
        super().shutdown_request(request)

    def end(self):
        """Closes the port and all channels, as when the process ends."""
        self.shutdown()
        self.server_close()
        for channel in list(self.channels):
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def handle_error(self, request, client_address):
        pass


def serve(addr, handle):
    """Serves HTTP at `addr`; `handle(method, path, query, body, headers)` returns status and body."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def respond(self):
            url = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
            length = int(self.headers.get("Content-Length") or 0)
            raw = self.rfile.read(length) if length else b""
            try:
                body = json.loads(raw) if raw else {}
            except ValueError:
                body = {}
            reply = handle(self.command, url.path, query, body, self.headers)
            if reply is None:
                self.close_connection = True
                return
            status, reply = reply
            data = json.dumps(reply).encode()
            head = (f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n")
            self.wfile.write(head.encode() + data)

        do_GET = do_POST = do_DELETE = respond

        def log_message(self, *args):
            pass

    server = Server(addr, Handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05},
                     daemon=True).start()
    return server


class Store:
    """The platform's metadata store, as in PROTOCOL.md."""

    def __init__(self, ip):
        self.cond = threading.Condition()
        self.rev = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.server = serve((ip, 0), self.handle)
        self.addr = "%s:%d" % self.server.server_address
        threading.Thread(target=self.expire_forever, daemon=True).start()

    def put(self, key, value):
        """Writes a key as the operator does."""
        with self.cond:
            self.rev += 1
            self.write(key, json.dumps(value).encode(), 0)
            self.cond.notify_all()

    def get(self, key):
        with self.cond:
            item = self.items.get(key)
            return None if item is None else item["raw"]

    def write(self, key, raw, lease):
        old = self.items.get(key)
        item = {"key": key, "raw": raw, "rev": self.rev,
                "created": old["created"] if old else self.rev, "lease": lease}
        self.items[key] = item
        self.events.append((self.rev, self.shown(item)))

    def delete(self, key):
        if self.items.pop(key, None):
            self.events.append((self.rev, {"key": key, "rev": self.rev, "deleted": True}))

    @staticmethod
    def shown(item):
        row = {k: item[k] for k in ("key", "rev", "created", "lease")}
        row["value"] = base64.b64encode(item["raw"]).decode()
        return row

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.rev += 1
            for key in keys:
                self.delete(key)
            self.cond.notify_all()

    def expire(self):
        now = time.monotonic()
        for lease in [l for l, (until, _) in self.leases.items() if until <= now]:
            self.end_lease(lease)

    def expire_forever(self):
        while True:
            time.sleep(0.01)
            with self.cond:
                self.expire()

    def handle(self, method, path, query, body, _headers):
        if path == "/v1/kv-watch":
            return self.watch(query)
        with self.cond:
            self.expire()
            if path == "/v1/kv-key":
                item = self.items.get(query.get("key", ""))
                if item is None:
                    return 404, {"at": self.rev}
                return 200, dict(self.shown(item), at=self.rev)
            if path == "/v1/kv-range":
                prefix, after = query.get("prefix", ""), query.get("after")
                keys = sorted(k for k in self.items
                              if k.startswith(prefix) and (after is None or k > after))
                rows = [self.shown(self.items[k]) for k in keys[:500]]
                return 200, {"items": rows, "hasMore": len(keys) > 500, "at": self.rev}
            if path == "/v1/kv-txn":
                return self.txn(body)
            if path == "/v1/kv-lease":
                ttl = min(max(int(body.get("ttlMs", 0)), 1000), 600_000)
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": lease, "ttlMs": ttl}
            lease = int(path.rsplit("/", 1)[-1]) if path.rsplit("/", 1)[-1].isdigit() else -1
            if lease not in self.leases:
                return 404, {}
            if path.startswith("/v1/kv-keep/"):
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"ttlMs": ttl}
            if path.startswith("/v1/kv-lease-end/"):
                self.end_lease(lease)
                return 200, {}
            return 404, {}

    def txn(self, body):
        expected = body.get("expected", [])
        rev_of = lambda key: self.items[key]["rev"] if key in self.items else 0
        if any(rev_of(row["key"]) != row["rev"] for row in expected):
            current = [self.shown(self.items[r["key"]]) for r in expected if r["key"] in self.items]
            return 412, {"items": current}
        writes = body.get("writes", [])
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return 404, {}
        self.rev += 1
        for row in writes:
            self.write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        self.cond.notify_all()
        return 200, {"rev": self.rev}

    def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000
        with self.cond:
            while True:
                rows = [row for rev, row in self.events
                        if rev > after and row["key"].startswith(prefix)]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {"events": rows, "at": self.rev}
                self.cond.wait(min(left, 0.5))


class Run:
    def __init__(self, worker, task, number, spec, saved):
        self.worker, self.task, self.number, self.saved = worker, task, number, saved
        # The value that the start carried.
        self.resumed = saved
        self.spec = json.loads(spec)
        if "steps" in self.spec:
            self.spec = dict(self.spec["steps"][int(task.split(".")[2])])
        self.started = time.monotonic()
        self.work_s = 0.0
        self.stops_at = None

    @property
    def step(self):
        return self.task.rsplit(".", 1)[0]


class World:
    """All workers: what runs, and the gangs among it."""

    TICK_S = 0.01

    def __init__(self, record, specs):
        self.record = record
        self.lock = threading.RLock()
        self.workers = []
        # What a submission's tasks do, by the submission's id; see Run.
        self.specs = specs
        self.starts = []
        self.ends = []
        threading.Thread(target=self.tick_forever, daemon=True).start()

    def tick_forever(self):
        last = time.monotonic()
        while True:
            time.sleep(self.TICK_S)
            now = time.monotonic()
            with self.lock:
                for worker in self.workers:
                    worker.tick(now, now - last)
                self.tick_gangs(now, now - last)
            last = now

    def gangs(self):
        found = {}
        for worker in self.workers:
            for run in worker.runs.values():
                if run.spec.get("gang"):
                    found.setdefault((run.step, run.number), []).append(run)
        return found

    def tick_gangs(self, now, passed):
        for (step, number), runs in self.gangs().items():
            spec = runs[0].spec
            if len(runs) < spec["gang"]:
                late = [r for r in runs if r.work_s == 0 and now - r.started > GANG_MS / 1000]
                for run in late:
                    run.worker.end(run, "alone")
                continue
            if any(r.stops_at for r in runs):
                continue
            before = min(r.work_s for r in runs)
            work = before + passed
            for run in runs:
                run.work_s = work
            every = spec.get("saves_s")
            if every and int(work / every) > int(before / every):
                # One value for the whole gang: how far its work has come, in milliseconds.
                base = min(int(r.resumed or "0", 16) for r in runs)
                value = "%016x" % round(base + int(work / every) * every * 1000)
                for run in runs:
                    run.saved = value
                self.record.add(f"gang {step} run {number} saves {value}")
            if work + min(int(r.resumed or "0", 16) for r in runs) / 1000 >= spec["s"]:
                for run in list(runs):
                    run.worker.end(run, "done")

    def break_gang(self, ended):
        for run in [r for w in self.workers for r in w.runs.values()]:
            if run.step == ended.step and run.number == ended.number:
                run.worker.end(run, "broken")


class Worker:
    """A worker ("runner") with its heartbeats."""

    # Whether it answers orders to start with 503, and does nothing then.
    is_shedding = False
    shed = 0

    def __init__(self, world, ip, name, control, zone, pool, cores, labels):
        self.world, self.name, self.control, self.zone, self.pool = world, name, control, zone, pool
        self.cores, self.labels = cores, labels
        self.server = serve((ip, 0), self.handle)
        self.addr = "%s:%d" % self.server.server_address
        self.is_up = False
        self.life = 0
        self.runs = {}
        world.workers.append(self)

    def start(self):
        if self.life:
            host, port = self.addr.rsplit(":", 1)
            self.server = serve((host, int(port)), self.handle)
        with self.world.lock:
            self.life += 1
            self.id = f"i-{self.name}-{self.life}"
            self.born = int(time.time() * 1000)
            self.began = time.monotonic()
            self.fence, self.deadline_ms, self.seq, self.next_end = 0, 0, 0, 1
            self.runs, self.finished, self.highest = {}, [], {}
            self.is_up = True
            life = self.life
        self.world.record.add(f"worker {self.name} is up as {self.id}")
        threading.Thread(target=self.beat_forever, args=(life,), daemon=True).start()

    def crash(self):
        """Loses all runs and its port until it starts again."""
        with self.world.lock:
            self.is_up = False
            runs, self.runs = list(self.runs.values()), {}
            names = ", ".join(f"{r.task} run {r.number}" for r in runs)
            self.world.record.add(f"worker {self.name} crashes under [{names}]")
            for run in runs:
                self.world.ends.append((time.monotonic(), self.name, run.task, run.number, "gone"))
            for run in runs:
                if run.spec.get("gang"):
                    self.world.break_gang(run)
        self.server.end()

    def fail_all(self):
        """Fails all that it runs, as an unhealthy worker may."""
        with self.world.lock:
            for run in list(self.runs.values()):
                self.end(run, "failed")

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def beat_forever(self, life):
        while self.is_up and self.life == life:
            self.seq += 1
            body = {"service": self.pool, "addr": self.addr, "zone": self.zone, "version": "v1",
                    "slots": 8, "state": "ready", "coldMs": 0,
                    "capacity": {"cpu": self.cores * 1000, "memMb": self.cores * 4000, "gpu": 0},
                    "labels": self.labels, "clockMs": self.clock_ms(), "seq": self.seq,
                    "born": self.born}
            try:
                call(self.control, "POST", f"/v1/instances/{self.id}/heartbeat", body, timeout=1.0)
            except OSError:
                pass
            time.sleep(HEARTBEAT_S)

    def used(self):
        return sum(r.spec.get("cpu", 0) for r in self.runs.values())

    def end(self, run, how):
        if self.runs.pop((run.task, run.number), None) is None:
            return
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.finished.append([self.next_end, run.task, run.number, how, run.saved])
        self.next_end += 1
        self.world.ends.append((time.monotonic(), self.name, run.task, run.number, how))
        self.world.record.add(f"worker {self.name}: {run.task} run {run.number} ends {how}"
                              + (f" saved {run.saved}" if run.saved else ""))
        if run.spec.get("gang") and how != "done":
            self.world.break_gang(run)

    def tick(self, now, passed):
        if not self.is_up:
            return
        if self.runs and self.clock_ms() > self.deadline_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            if run.stops_at and run.stops_at <= now:
                self.end(run, "stopped")
            elif run.spec.get("gang"):
                continue
            elif run.spec.get("fails_s") is not None and now - run.started >= run.spec["fails_s"]:
                self.end(run, "failed")
            elif not run.spec.get("lasts"):
                run.work_s += passed
                if run.work_s >= run.spec["s"]:
                    self.end(run, "done")

    def handle(self, method, path, _query, body, headers):
        with self.world.lock:
            if not self.is_up:
                return None
            expected = headers.get("X-Expect-Instance")
            if expected and expected != self.id:
                return 421, {"clockMs": self.clock_ms(), "born": self.born}
            fence = body.get("fence", 0)
            if fence < self.fence:
                return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
            self.fence = fence
        if path == "/v1/hold":
            return self.hold(body)
        with self.world.lock:
            if path == "/v1/run-start" and self.is_shedding:
                self.shed += 1
                return 503, {"clockMs": self.clock_ms()}
            if path == "/v1/run-start":
                return self.run_start(body)
            key = (body.get("task"), body.get("run"))
            if path == "/v1/run-stop":
                run = self.runs.get(key)
                self.world.record.add(f"worker {self.name}: told to stop {key[0]} run {key[1]}")
                if run:
                    run.stops_at = run.stops_at or time.monotonic() + STOP_MS / 2000
                else:
                    self.highest[key[0]] = max(key[1], self.highest.get(key[0], 0))
                return 200, {"clockMs": self.clock_ms()}
            if path == "/v1/pace":
                return 200, {"clockMs": self.clock_ms()}
        return 404, {}

    def extend(self, body):
        if "deadlineMs" in body:
            latest = self.clock_ms() + HOLD_MAX_MS
            self.deadline_ms = max(self.deadline_ms, min(body["deadlineMs"], latest))

    def hold(self, body):
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        with self.world.lock:
            self.extend(body)
            acked = body.get("ackCursor", 0)
            self.finished = [row for row in self.finished if row[0] > acked]
            life, ends = self.life, self.next_end
        while time.monotonic() < until:
            with self.world.lock:
                if not self.is_up or self.life != life or self.next_end != ends or self.finished:
                    break
            time.sleep(0.01)
        with self.world.lock:
            if not self.is_up or self.life != life:
                return None
            rows = [[r.task, r.number, r.saved, self.percent(r), r.spec.get("cpu", 0)]
                    for r in self.runs.values()]
            return 200, {"clockMs": self.clock_ms(), "born": self.born, "running": rows,
                         "finished": self.finished[:500]}

    @staticmethod
    def percent(run):
        if run.spec.get("lasts"):
            return 100 if time.monotonic() - run.started > 0.3 else 0
        return int(min(100, 100 * run.work_s / run.spec["s"]))

    def run_start(self, body):
        task, number, saved = body["task"], body["run"], body.get("saved", "")
        if (task, number) in self.runs:
            return 200, {"clockMs": self.clock_ms()}
        self.extend(body)
        if number <= self.highest.get(task, 0):
            return 409, {"clockMs": self.clock_ms(), "reason": "old"}
        if self.clock_ms() >= self.deadline_ms:
            return 409, {"clockMs": self.clock_ms(), "reason": "late"}
        run = Run(self, task, number, body["spec"], saved)
        if self.world.specs.get(task.split(".")[0]):
            run.spec.update(self.world.specs[task.split(".")[0]])
        self.runs[(task, number)] = run
        self.world.starts.append((time.monotonic(), self.name, task, number, saved))
        self.world.record.add(f"worker {self.name}: starts {task} run {number}"
                              + (f" saved {saved}" if saved else ""))
        return 200, {"clockMs": self.clock_ms()}


def call(addr, method, path, body=None, timeout=3.0, headers=None):
    """Makes one HTTP call; returns status and decoded body."""
    host, port = addr.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else json.dumps(body).encode()
        conn.request(method, path, data, dict({"Content-Type": "application/json"},
                                              **(headers or {})))
        resp = conn.getresponse()
        raw = resp.read()
    except http.client.HTTPException as e:
        raise OSError(str(e)) from e
    finally:
        conn.close()
    return resp.status, json.loads(raw) if raw else {}


class Desk:
    """A deployment: a store, entries, and workers with a companion each."""

    def __init__(self, record, entries, workers, routes, cores=16, specs=None):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="monsoontrestle-review-")
        self.processes = {}
        self.net = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        self.routes = routes
        self.front = {}
        self.store = Store(self.ip(1))
        self.store.put("op/config", self.config())
        self.world = World(record, specs or {})
        zones = {"zone-a": "region", "zone-b": "region", "zone-c": "region"}
        for number in range(entries):
            name, ip = f"edge-{number + 1}", self.ip(10 + number)
            listen = {"front": f"{ip}:8161", "ready": f"{ip}:8167"}
            self.front[name] = listen["front"]
            zone = list(zones)[number % 3]
            self.write_settings(name, ip, "edge", zone, zones, listen, None)
        self.worker = {}
        for number in range(workers):
            name, ip = f"side-{number + 1}", self.ip(30 + number)
            control = f"{ip}:8166"
            worker = Worker(self.world, ip, f"w{number + 1}", control, list(zones)[number % 3],
                            "desk", cores, ["a", f"r1-{number // 3 + 1}"])
            self.worker[worker.name] = worker
            self.write_settings(name, ip, "side", worker.zone, zones, {"control": control},
                                worker.addr)

    def ip(self, host):
        return f"{self.net}.{host}"

    def config(self):
        return {"version": 1, "routes": self.routes,
                "services": [{"name": "desk", "enforcesCapacity": False}],
                "limits": {"bodyBytes": 262144}}

    def write_settings(self, name, ip, kind, zone, zones, listen, app):
        settings = {
            "node": name, "role": "entry" if kind == "edge" else "companion", "class": kind,
            "serves": [kind], "ip": ip, "zone": zone, "region": "region", "zones": zones,
            "listen": listen, "internalPorts": [7720, 7735], "seeds": [], "bootstrap": True,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "local", "entry": "vip", "heartbeatMs": 1100,
            "bounds": {"stableWindowMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6,
                       "applyMs": 2000, "recoverS": 12, "holdMaxMs": HOLD_MAX_MS,
                       "stopMs": STOP_MS, "gangMs": GANG_MS, "cancel_ms": 3000,
                       "visible_ms": 3000, "early_ms": 250, "finish_s": FINISH_S,
                       "status_s": 120, "checkpointIntervalS": 1, "restoreMs": 100,
                       "requireFence": False, "leaseMs": 3000},
            "controlMode": "call",
            "platform": {"addr": self.store.addr, "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000},
        }
        if app:
            settings["app"] = app
        with open(os.path.join(self.folder.name, f"{name}.json"), "w") as file:
            json.dump(settings, file)

    def start_process(self, name):
        program = ENTRY if name.startswith("edge") else COMPANION
        if not os.path.exists(os.path.join(ROOT, program[0])):
            raise CannotRun(f"{program[0]} is not built")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["MONSOONTRESTLE_NODE_FILE"] = os.path.join(self.folder.name, f"{name}.json")
        log = open(os.path.join(self.folder.name, f"{name}.log"), "a")
        self.processes[name] = subprocess.Popen(program, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                                stdout=log, stderr=log)
        self.record.add(f"process {name} is started")

    def start(self):
        for name in self.front:
            self.start_process(name)
        for number in range(len(self.worker)):
            self.start_process(f"side-{number + 1}")
        for worker in self.worker.values():
            worker.start()
        self.wait(lambda: all(self.is_ready(name) for name in self.front), 15, "entries are ready")
        self.wait(lambda: all(w.fence > 0 for w in self.worker.values()), 15, "workers are known")
        time.sleep(2)

    def is_ready(self, name):
        try:
            addr = self.front[name].replace("8161", "8167")
            return call(addr, "GET", "/v1/ready", timeout=1)[0] == 200
        except OSError:
            return False

    def wait(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"not within {seconds} s: {what}")
            time.sleep(0.05)

    def kill(self, name):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record.add(f"process {name} is killed")

    def owner(self):
        """Returns the entry that last wrote the owner's key: its name stands in the value."""
        raw = self.store.get("mt/owner") or b""
        names = [name for name in self.front if name.encode() in raw]
        return names[0] if names else None

    def request(self, method, path, body=None, entry=None):
        """Sends a client's request, at most 5 attempts, each at another entry."""
        names = list(self.front)
        if entry:
            names = [entry] + [n for n in names if n != entry]
        for attempt in range(5):
            name = names[attempt % len(names)]
            try:
                status, reply = call(self.front[name], method, path, body, timeout=3.0,
                                     headers={"Host": "desk.example", "X-Deadline-Ms": "3000"})
            except OSError as e:
                self.record.add(f"client: {method} {path} at {name}: {e}")
                time.sleep(0.2)
                continue
            self.record.add(f"client: {method} {path} at {name}: {status} {reply or ''}")
            if status not in (429, 502, 503, 504):
                return status, reply
            time.sleep(1.0)
        return 0, {}

    def submit(self, path, spec, steps, **more):
        job = "%016x" % random.getrandbits(64)
        body = dict({"spec": json.dumps(spec), "steps": steps}, **more)
        status, _ = self.request("POST", f"{path}{job}", body)
        if not 200 <= status < 300:
            raise CannotRun(f"submission not accepted: {status}")
        return job

    def close(self, logs=None):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        if logs:
            os.makedirs(logs, exist_ok=True)
            for name in os.listdir(self.folder.name):
                if name.endswith(".log"):
                    with open(os.path.join(self.folder.name, name)) as src, \
                            open(os.path.join(logs, name), "w") as out:
                        out.write(src.read())
        self.folder.cleanup()


def route(name, prefix, priority, attempts=3):
    return {"name": name, "host": "desk.example", "prefix": prefix, "service": "desk",
            "priority": priority, "attempts": attempts, "stretch": 2.0, "sloMs": 1000}


def is_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


# A case that takes longer is ended, with all processes that it started.
MAX_S = 112


def main(folder, case):
    """Runs a case, which returns what broke the rule, or an empty list; ends the process."""
    record = Record(os.path.join(folder, "record.txt"))
    opened = []

    def give_up(why):
        record.add(f"could not run: {why}")
        for d in opened:
            d.close()
        os._exit(2)

    signal.signal(signal.SIGTERM, lambda *_: give_up("terminated"))
    watchdog = threading.Timer(MAX_S, give_up, [f"not over within {MAX_S} s"])
    watchdog.daemon = True
    watchdog.start()

    def desk(**cfg):
        opened.append(Desk(record, **cfg))
        return opened[-1]

    status = 2
    try:
        broken = case(desk, record)
        for text in broken:
            record.add(f"BROKEN {text}")
            print(text)
        status = 1 if broken else 0
    except Exception as e:  # A mistake of the case is no broken rule.
        record.add(f"could not run: {e!r}")
        print(f"could not run: {e!r}")
    for d in opened:
        d.close(os.environ.get("REVIEW_LOGS"))
    record.add(f"ends with {status}")
    sys.stdout.flush()
    os._exit(status)
