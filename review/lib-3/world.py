"""A small deployment on loopback: the project's programs as processes, and the stand-ins."""

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

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)
from store import Store

ROOT = os.path.dirname(os.path.dirname(HERE))
SERVICE = "desk"
FRONT, READY, CONTROL, APP, INTERNAL = 8161, 8167, 8166, 8080, 7720
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "syncS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "applyMs": 2000, "downgradeMs": 250,
    "skewMaxMs": 5000, "recoverS": 12, "holdMaxMs": 6000, "stopMs": 400, "gangMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "farX": 1.5, "checkpointIntervalS": 0.5, "restoreMs": 600, "noticeMs": 4500, "migrateS": 1.5,
    "maintenanceS": 2, "requireFence": False, "leaseMs": 3000, "thawMs": 300, "paceMs": 100,
    "harmMs": 4000,
}
HEARTBEAT_MS = 1500

# A script may take 120 s.
TIME_LIMIT_S = 112


class CannotRun(Exception):
    """The case could not run."""


class World:
    """The processes of a deployment; each VM has a loopback address of its own."""

    def __init__(self, folder, entries=3, workers=3, keeps_sockets=False):
        self.folder = folder
        self.tmp = tempfile.mkdtemp(prefix="review-3-")
        self.log_path = os.path.join(self.tmp, "runners.log")
        open(self.log_path, "w").close()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.record_file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.record_lock = threading.Lock()
        self.processes = []
        self.net = self._free_net(entries + workers)
        self.store = Store()
        self.store_addr = self.store.serve(self.ip(0))
        self.entries = [f"entry-{n}" for n in range(entries)]
        self.workers = [f"side-{n}" for n in range(workers)]
        self.running = {}  # name -> Popen
        # The listening sockets of runners that restart behind an open socket.
        self.sockets = {}
        self.keeps_sockets = keeps_sockets

    def _free_net(self, count):
        for _ in range(20):
            net = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}"
            try:
                for host in range(1, count + 2):
                    for port in (FRONT, READY, CONTROL, APP, INTERNAL, 9464):
                        with socket.socket() as s:
                            s.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def ip(self, number):
        return f"{self.net}.{number + 1}"

    def vm_ip(self, name):
        names = self.entries + self.workers
        return self.ip(names.index(name) + 1)

    def record(self, text):
        """Writes a line to the record, with the seconds since the start."""
        with self.record_lock:
            self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    # Processes

    def put_config(self, config):
        self.record(f"operator writes op/config {json.dumps(config)}")
        self.store.put("op/config", json.dumps(config).encode())

    def start_all(self):
        for name in self.entries + self.workers:
            self.start_program(name)
        for name in self.workers:
            self.start_runner(name)
        self.await_ready()

    def settings(self, name):
        ip = self.vm_ip(name)
        is_entry = name in self.entries
        listen = (
            {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}", "control": f"{ip}:{CONTROL}"}
            if is_entry
            else {"control": f"{ip}:{CONTROL}"}
        )
        return {
            "node": name, "role": "entry" if is_entry else "companion",
            "class": "edge" if is_entry else "side", "serves": ["edge"] if is_entry else ["side"],
            "ip": ip, "zone": "zone-a", "region": "region", "zones": {"zone-a": "region"},
            "listen": listen, "internalPorts": [INTERNAL, INTERNAL + 15], "seeds": [],
            "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "local", "entry": "vip", "heartbeatMs": HEARTBEAT_MS,
            "bounds": BOUNDS, "controlMode": "call",
            **({} if is_entry else {"app": f"{ip}:{APP}"}),
            "platform": {"addr": self.store_addr, "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000},
        }

    def start_program(self, name):
        program = "monsoontrestle" if name in self.entries else "monsoontrestle-companion"
        program = os.path.join(ROOT, "target", "release", program)
        if not os.path.exists(program):
            raise CannotRun(f"{program} is not built")
        path = os.path.join(self.tmp, f"{name}.json")
        with open(path, "w") as f:
            json.dump(self.settings(name), f)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["MONSOONTRESTLE_NODE_FILE"] = path
        out = open(os.path.join(self.tmp, f"{name}.out"), "ab")
        self.spawn(name, [program, "site"], env, out)

    def start_runner(self, name):
        """Starts a new life of a VM's runner."""
        self.prepare_runner(name, waits=False)

    def prepare_runner(self, name, waits=True):
        """Starts the process of a new life, which begins when it is told so."""
        ip = self.vm_ip(name)
        cfg = {
            "id": f"i-{name}", "addr": f"{ip}:{APP}", "control": f"{ip}:{CONTROL}",
            "service": SERVICE, "zone": "zone-a", "heartbeatMs": HEARTBEAT_MS,
            "capacity": {"cpu": 16000, "memMb": 64000, "gpu": 0},
            "labels": ["a", "r1-1"], "log": self.log_path, "stopMs": BOUNDS["stopMs"],
            "holdMaxMs": BOUNDS["holdMaxMs"], "waits": waits, "fd": self.socket_of(name),
        }
        command = [sys.executable, "-B", os.path.join(HERE, "runner.py"), json.dumps(cfg)]
        self.spawn(f"runner {name}", command, None, subprocess.DEVNULL, waits)

    def socket_of(self, name):
        """Returns the descriptor of the socket that a VM's runners share, if they do."""
        if not self.keeps_sockets:
            return None
        if name not in self.sockets:
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((self.vm_ip(name), APP))
            listener.listen(256)
            self.sockets[name] = listener
        return self.sockets[name].fileno()

    def begin_runner(self, name):
        """Tells a prepared runner to begin its life."""
        self.record(f"begin runner {name}")
        self.running[f"runner {name}"].stdin.write(b"begin\n")
        self.running[f"runner {name}"].stdin.flush()

    def spawn(self, name, command, env, out, waits=False):
        self.record(f"{'prepare' if waits else 'start'} {name}")
        stdin = subprocess.PIPE if waits else subprocess.DEVNULL
        fds = [s.fileno() for s in self.sockets.values()]
        process = subprocess.Popen(
            command, env=env, stdin=stdin, stdout=out, stderr=out, cwd=ROOT, pass_fds=fds
        )
        self.running[name] = process
        self.processes.append(process)

    def signal(self, name, number):
        self.record(f"signal {signal.Signals(number).name} to {name}")
        self.running[name].send_signal(number)
        if number == signal.SIGKILL:
            self.running[name].wait()

    def await_ready(self):
        until = time.monotonic() + 15
        for name in self.entries:
            while True:
                try:
                    if self.http(self.vm_ip(name), READY, "GET", "/v1/ready", timeout=1)[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > until:
                    raise CannotRun(f"{name} does not become ready")
                time.sleep(0.1)

    def end(self):
        """Ends all processes and removes the temporary folder."""
        for process in list(self.processes):
            if process.poll() is None:
                process.kill()
        for process in list(self.processes):
            process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)

    # Clients

    @staticmethod
    def http(ip, port, method, path, body=None, headers=None, timeout=3):
        connection = http.client.HTTPConnection(ip, port, timeout=timeout)
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def client(self, entry, method, host, path, body=None, timeout=3.0):
        """Sends a client's request; returns the status, None without an answer, and the body."""
        headers = {"Host": host, "X-Deadline-Ms": str(int(timeout * 1000))}
        data = None
        if body is not None:
            data = json.dumps(body)
            headers["Content-Type"] = "application/json"
        self.record(f"client sends {method} {path} to {entry}" + (f" {data}" if data else ""))
        try:
            ip = self.vm_ip(entry)
            status, raw = self.http(ip, FRONT, method, path, data, headers, timeout)
        except (OSError, http.client.HTTPException) as e:
            self.record(f"client gets no answer to {method} {path}: {type(e).__name__}")
            return None, {}
        self.record(f"client gets {status} {raw.decode(errors='replace')} to {method} {path}")
        try:
            return status, json.loads(raw or b"{}")
        except ValueError:
            return status, {}

    def submit(self, host, path, body, tries=10):
        """Hands a submission in as a client does: again after no answer or a refusal."""
        for n in range(tries):
            entry = self.entries[n % len(self.entries)]
            status, _ = self.client(entry, "POST", host, path, body)
            if status is not None and 200 <= status < 300:
                return True
            time.sleep(0.5)
        return False

    # What the runners have seen

    def events(self):
        with open(self.log_path) as f:
            return [json.loads(line) for line in f if line.endswith("\n")]

    def write_events(self):
        """Copies what the runners have seen to the record, in order."""
        for row in sorted(self.events(), key=lambda row: row["t"]):
            at = row["t"] - self.began
            text = " ".join(f"{k}={v}" for k, v in row.items() if k not in ("t", "event"))
            with self.record_lock:
                self.record_file.write(f"{at:8.3f} runner: {row['event']} {text}\n")


def end_on(world, why):
    """Ends a case that could not run to its end: all processes, and this one with status 2."""
    world.record(f"the case could not run: {why}")
    print(f"the case could not run: {why}", flush=True)
    world.end()
    os._exit(2)


def run_case(case, folder, **world_args):
    """Runs a case; it returns what broke the rule, or an empty string if it held.

    The exit status is 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    try:
        world = World(folder, **world_args)
    except (CannotRun, OSError) as e:
        print(f"the case could not run: {e!r}")
        sys.exit(2)
    watchdog = threading.Timer(TIME_LIMIT_S, end_on, (world, f"{TIME_LIMIT_S} s have passed"))
    watchdog.daemon = True
    watchdog.start()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda number, _frame: end_on(world, f"signal {number}"))
    try:
        broken = case(world)
        watchdog.cancel()
        world.write_events()
    except Exception as e:  # Whatever it is, it isn't a broken rule.
        end_on(world, repr(e))
    verdict = f"BROKEN: {broken}" if broken else "the rule held"
    world.record(verdict)
    print(verdict, flush=True)
    world.end()
    sys.exit(1 if broken else 0)
