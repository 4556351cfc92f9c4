"""A stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import base64
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Says nothing of channels that a killed process has reset."""


class Store:
    """Linearizable keys with revisions, leases and watches."""

    def __init__(self):
        self.cond = threading.Condition()
        self.rev = 1
        self.items = {}  # key -> {value, rev, created, lease}
        self.events = []  # (rev, event)
        self.leases = {}  # id -> [ttl, expires]
        self.next_lease = 100
        threading.Thread(target=self._expire, daemon=True).start()

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.cond:
                now = time.monotonic()
                for lease in [l for l, (_, at) in self.leases.items() if at <= now]:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, i in self.items.items() if i["lease"] == lease]
        if keys:
            self.rev += 1
            for key in keys:
                self._delete(key)
            self.cond.notify_all()

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append((self.rev, {"key": key, "rev": self.rev, "deleted": True}))

    def _row(self, key):
        item = self.items[key]
        return {"key": key, **item}

    def put(self, key, value):
        """Writes a key as the operator does, and returns its revision."""
        with self.cond:
            self.rev += 1
            self._put(key, base64.b64encode(value).decode(), 0)
            self.cond.notify_all()
            return self.rev

    def _put(self, key, value, lease):
        before = self.items.get(key)
        created = before["created"] if before else self.rev
        self.items[key] = {"value": value, "rev": self.rev, "created": created, "lease": lease}
        self.events.append((self.rev, self._row(key)))

    def call(self, method, path, query, body):
        """Returns the status and the body of the response to a call."""
        if path == "/v1/kv-watch":
            return self._watch(query)
        with self.cond:
            if path == "/v1/kv-key":
                key = query["key"]
                if key in self.items:
                    return 200, {**self._row(key), "at": self.rev}
                return 404, {"at": self.rev}
            if path == "/v1/kv-range":
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                rows = [self._row(k) for k in keys[:500]]
                return 200, {"items": rows, "hasMore": len(keys) > 500, "at": self.rev}
            if path == "/v1/kv-txn":
                return self._txn(body)
            if path == "/v1/kv-lease":
                ttl = max(1000, min(600000, body["ttlMs"]))
                self.next_lease += 1
                self.leases[self.next_lease] = [ttl, time.monotonic() + ttl / 1000]
                return 200, {"lease": self.next_lease, "ttlMs": ttl}
            if path.startswith("/v1/kv-keep/"):
                lease = self.leases.get(int(path.rsplit("/", 1)[1]))
                if lease is None:
                    return 404, {}
                lease[1] = time.monotonic() + lease[0] / 1000
                return 200, {"ttlMs": lease[0]}
            if path.startswith("/v1/kv-lease-end/"):
                lease = int(path.rsplit("/", 1)[1])
                found = lease in self.leases
                self._end_lease(lease)
                return (200 if found else 404), {}
        return 404, {}

    def _txn(self, body):
        expected = body.get("expected", [])
        writes, deletes = body.get("writes", []), body.get("deletes", [])
        held = all(
            (self.items[e["key"]]["rev"] if e["key"] in self.items else 0) == e["rev"]
            for e in expected
        )
        if not held:
            rows = [self._row(e["key"]) for e in expected if e["key"] in self.items]
            return 412, {"items": rows}
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        self.rev += 1
        for write in writes:
            self._put(write["key"], write["value"], write.get("lease", 0))
        for key in deletes:
            self._delete(key)
        self.cond.notify_all()
        return 200, {"rev": self.rev}

    def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.cond:
            while True:
                found = [e for r, e in self.events if r > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "at": self.rev}
                self.cond.wait(left)

    def serve(self, ip):
        """Serves the store on a free port and returns its address."""
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                raw = self.rfile.read(length)
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, reply = store.call(self.command, url.path, query, json.loads(raw or b"{}"))
                data = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
                self.wfile.flush()

            do_GET = do_POST = do_DELETE = handle_call

            def log_message(self, *args):
                pass

        server = Server((ip, 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"{ip}:{server.server_address[1]}"
