"""Stand-in for the platform's key-value store, with simulated failures."""

import asyncio
import base64
import copy
import json
import urllib.parse

PAGE_ITEMS = 500
TRICKLE_GAP_S = 0.1
TRICKLED_BYTES = 100_000
MS_PER_S = 1000


class Request:
    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(
            parts.query, keep_blank_values=True))
        self.fields = fields  # as sent, in order
        self.headers = {name.lower(): value for name, value in fields}
        self.body = body


async def read_request(reader):
    """Returns the next request of a connection, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    fields = [tuple(part.strip() for part in line.split(":", 1))
              for line in lines[1:] if ":" in line]
    size = next((int(value) for name, value in fields
                 if name.lower() == "content-length"), 0)
    try:
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, fields, body)


def response_bytes(status, body=b"", fields=(), length=True):
    lines = ["HTTP/1.1 %d Answer" % status]
    lines += ["%s: %s" % field for field in fields]
    if length:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """Serves requests on the asyncio loop.  All methods must be called from
    the thread of that loop."""

    def __init__(self):
        self.generation = 1  # rises with each restore
        self.items = {}  # key: {"value", "rev", "created", "lease"}
        self.revision = 7
        self.events = []  # (revision, event)
        self.compacted_revision = 0  # newest one without events
        self.leases = {}  # number: (seconds, time of expiry)
        self.last_lease = 100
        self.sent_keys = {}  # how often the item of each key was sent
        self.changed = asyncio.Condition()
        # "busy", "silent", "reset", "refuse-some" or "trickle"
        self.failure_mode = None
        self.responses_to_drop = 0  # to writes, which are executed
        self.delay_s = 0
        self.calls = []
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.expire_leases())

    def close(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            for lease, (_, end) in list(self.leases.items()):
                if end < now and self.failure_mode is None:
                    await self.revoke_lease(lease)

    async def revoke_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        await self.write({}, [key for key, item in self.items.items()
                              if item["lease"] == lease])
        return True

    async def write(self, puts, removed=()):
        """Puts {key: (bytes, lease)} and removes keys in one revision."""
        if not puts and not removed:
            return self.revision
        self.revision += 1
        for key, (value, lease) in puts.items():
            created = self.items.get(key, {"created": self.revision})
            self.items[key] = {"value": value, "rev": self.revision,
                               "created": created["created"], "lease": lease}
            self.events.append((self.revision, key, self.item_json(key)))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key,
                                    {"key": key, "rev": self.revision,
                                     "tombstone": True}))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    def compact_history(self):
        self.compacted_revision = self.revision
        self.events.clear()

    def copy(self):
        """Returns a copy for `restore`."""
        return copy.deepcopy((self.items, self.revision, self.events,
                              self.leases, self.last_lease))

    def restore(self, saved):
        """Comes back from a copy: later writes and leases are gone, and their
        revisions and lease numbers are given out again."""
        (self.items, self.revision, self.events, self.leases,
         self.last_lease) = copy.deepcopy(saved)
        self.generation += 1
        for writer in list(self.connections):
            writer.transport.abort()

    def count_sent(self, items):
        for item in items:
            key = item["key"]
            self.sent_keys[key] = self.sent_keys.get(key, 0) + 1

    def item_json(self, key):
        item = self.items[key]
        return {"key": key, "rev": item["rev"], "created": item["created"],
                "lease": item["lease"],
                "value": base64.b64encode(item["value"]).decode()}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while request := await read_request(reader):
                self.calls.append((request.method, request.path))
                if not await self.handle(request, writer):
                    break
        except ConnectionError:
            pass
        self.connections.discard(writer)
        writer.close()

    async def handle(self, request, writer):
        """Returns whether to keep the connection."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.failure_mode == "silent":
            await asyncio.sleep(3600)
        if self.failure_mode == "reset":
            writer.transport.abort()
            return False
        if self.failure_mode == "trickle":
            await self.trickle(writer)
        if self.failure_mode == "busy":
            writer.write(response_bytes(503, fields=self.fields()))
            return True
        status, response = await self.dispatch(request)
        is_write = request.method != "GET"
        if is_write and self.responses_to_drop > 0:
            self.responses_to_drop -= 1
            writer.transport.abort()
            return False
        writer.write(response_bytes(status, json.dumps(response).encode(),
                                    self.fields()))
        await writer.drain()
        return True

    async def trickle(self, writer):
        """Begins a response and sends a byte of it now and then."""
        writer.write(response_bytes(
            200, fields=[*self.fields(), ("Content-Length", TRICKLED_BYTES)],
            length=False))
        while True:
            writer.write(b" ")
            await writer.drain()
            await asyncio.sleep(TRICKLE_GAP_S)

    def fields(self):
        return [("Store-Era", self.generation)]

    async def dispatch(self, request):
        body = json.loads(request.body) if request.body else {}
        if request.path == "/api/kv-key":
            return self.get(request.query["key"])
        if request.path == "/api/kv-range":
            return self.range(request.query)
        if request.path == "/api/kv-watch":
            return await self.watch(request.query)
        if request.path == "/api/kv-txn":
            return await self.transact(body)
        if request.path == "/api/kv-lease":
            return self.grant(body)
        number = request.path.rsplit("/", 1)[1]
        if request.path.startswith("/api/kv-keep/"):
            return self.renew(int(number))
        if request.path.startswith("/api/kv-lease-end/"):
            is_known = await self.revoke_lease(int(number))
            return (200 if is_known else 404), {}
        return 404, {}

    def get(self, key):
        if key not in self.items:
            return 404, {"store_revision": self.revision}
        item = self.item_json(key)
        self.count_sent([item])
        return 200, dict(item, store_revision=self.revision)

    def range(self, query):
        keys = sorted(key for key in self.items
                      if key.startswith(query.get("prefix", ""))
                      and key > query.get("after", ""))
        items = [self.item_json(key) for key in keys[:PAGE_ITEMS]]
        self.count_sent(items)
        return 200, {"items": items,
                     "has_more": len(keys) > PAGE_ITEMS,
                     "store_revision": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        end = (asyncio.get_running_loop().time()
               + int(query["wait_ms"]) / MS_PER_S)
        while True:
            if after < self.compacted_revision or after > self.revision:
                return 410, {}
            found = [event for revision, key, event in self.events
                     if revision > after and key.startswith(query["prefix"])]
            remaining_s = end - asyncio.get_running_loop().time()
            if found or remaining_s <= 0:
                self.count_sent(found)
                return 200, {"events": found, "store_revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), remaining_s)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, body):
        for row in body.get("expected", []):
            known = self.items.get(row["key"], {"rev": 0})
            if known["rev"] != row["rev"]:
                return 412, {"items": [self.item_json(row["key"])
                                       for row in body["expected"]
                                       if row["key"] in self.items]}
        puts = {}
        for row in body.get("puts", []):
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            puts[row["key"]] = (base64.b64decode(row["value"]), lease)
        return 200, {"rev": await self.write(puts, body.get("remove", []))}

    def grant(self, body):
        self.last_lease += 1
        seconds = body["ttl_ms"] / MS_PER_S
        self.leases[self.last_lease] = (
            seconds, asyncio.get_running_loop().time() + seconds)
        return 200, {"lease": self.last_lease, "ttl_ms": body["ttl_ms"]}

    def renew(self, lease):
        if lease not in self.leases:
            return 404, {}
        seconds = self.leases[lease][0]
        self.leases[lease] = (
            seconds, asyncio.get_running_loop().time() + seconds)
        return 200, {"lease": lease, "ttl_ms": int(seconds * MS_PER_S)}
