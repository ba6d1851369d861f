"""A fixture of the users' platform on loopback: the store, replicas, and the
relays and pilots under test."""

import asyncio
import http.client
import json
import os
import shutil
import socket
import tempfile
import threading
import time
import uuid

from cluster import BUILD, Program, wait_until
from platform_group import Group
from platform_replicas import Replica
from platform_store import Store

READY_TIMEOUT_S = 20
READ_BYTES = 64 * 1024
MAX_KEPT_BODY_BYTES = 16 * 1024 * 1024
HOST = "looks.example"
KEY = "key-of-maracas"
ACCOUNT = "maracas"

ENGINE_CONFIG = {
    "slots": 4, "kv_capacity_tokens": 40000, "stride": 5, "step_ms": 5.0,
    "per_seq_ms": 0.3, "context_per_k": 0.01, "read_per_s": 60000,
    "pairs_per_m": 0.1, "chunk": 512, "report_lag_ms": 200, "sets": 2,
    "experts": 12, "placements": 5, "spare": 2, "expert_share": 0.8,
    "expert_mb": 10, "link_mbps": 1000, "form_ms": 300,
    "usual": {"prompt": 100, "answer": 20}, "delays": []}

RELAY_SETTINGS = """
name = "%(name)s"
zone = "%(zone)s"
zones = ["a=south", "b=south", "c=south"]
listen = "127.0.0.1:0"
ready = "127.0.0.1:0"
admin = "127.0.0.1:0"
workers = %(workers)d
store_kind = "kv"
store = ["%(store)s"]
store_timeout = "900 ms"
stop_timeout = "8 s"

[bounds]
retry_ratio = 0.2
retry_extra = 94
retry_window = "10 s"
act_within = "%(act_within)d ms"
first_start = %(first_start)s
"""


PILOT_SETTINGS = """
name = "%(name)s"
zone = "%(zone)s"
listen = "127.0.0.1:0"
admin = "127.0.0.1:0"
upstream = "%(upstream)s"
service = "model"
workers = 1
store_kind = "kv"
store = ["http://127.0.0.1:%(store)d"]
store_timeout = "900 ms"
stop_timeout = "8 s"
"""


def route(name, kind, service, **options):
    fields = {"name": name, "host": HOST, "prefix": "/" + name + "/",
              "kind": kind, "service": service, "timeout_ms": 3000,
              "slo_ms": 400, "gap_slo_ms": 120, "max_attempts": 2,
              "resumable": kind == "streaming"}
    fields.update(options)
    return fields


def report_exception(loop, context):
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def default_config():
    return {
        "version": 3,
        "routes": [route("look", "streaming", "model"),
                   route("check", "idempotent", "app"),
                   route("book", "non_idempotent", "app", max_attempts=1)],
        "services": [
            {"name": "model", "health_path": "/health", "max_conns": 100,
             "cold_s": 1, "cold_per_s": 1000, "engine": ENGINE_CONFIG},
            {"name": "app", "health_path": "/health", "max_conns": 100,
             "cold_s": 1, "cold_per_s": 1000}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 5000},
        "tenants": [{"name": ACCOUNT, "keys": [KEY]}]}


class Response:
    def __init__(self, response, body, is_complete):
        self.status = response.status
        self.headers = response.headers
        self.body = body
        self.is_complete = is_complete


class Platform:
    """Use it in a with block.  Its methods are called from the thread of
    the test; the stand-ins run on an asyncio loop in another one."""

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="siskin-platform-")
        self.loop = asyncio.new_event_loop()
        self.loop.set_exception_handler(report_exception)
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.programs = {}
        self.replicas = []
        self.config = default_config()
        self.store = Store()

    def __enter__(self):
        self.thread.start()
        self.run(self.store.start())
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None and issubclass(kind, Exception):
            for program in self.programs.values():
                print("---", program.name)
                print("\n".join(program.text().splitlines()[-25:]))
        faults = [line for program in self.programs.values()
                  for line in program.faults()]
        for program in self.programs.values():
            program.kill()
        self.run(self.close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()
        shutil.rmtree(self.folder)
        assert not faults, faults

    async def close(self):
        for part in [self.store, *self.replicas]:
            part.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def run(self, coroutine):
        """Runs a coroutine on the loop of the stand-ins."""
        return asyncio.run_coroutine_threadsafe(
            coroutine, self.loop).result(30)

    def run_function(self, function, *args):
        """Calls a function in the thread of the stand-ins."""
        async def call():
            return function(*args)
        return self.run(call())

    def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        return self.run(self.store.write({key: (value, lease)}))

    def remove(self, *keys):
        return self.run(self.store.write({}, keys))

    def configure(self, change=None):
        """Applies `change` to the configuration and stores it with a new
        version, which is returned."""
        if change is not None:
            change(self.config)
        self.config["version"] += 2
        self.put("op/config", self.config)
        return self.config["version"]

    def add_replica(self, service="app", zone="a", **options):
        replica = Replica(self.store, service, zone, **options)
        self.run(replica.start())
        self.replicas.append(replica)
        return replica

    def runs(self, path=""):
        """Returns the requests whose processing started in a replica."""
        return [request for replica in self.replicas
                for request in list(replica.runs)
                if request.path.startswith(path)]

    def write_settings(self, name, text):
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w") as stream:
            stream.write(text)
        return path

    def relay_settings(self, name, zone="a", workers=1, store=None,
                       first_start=True, act_within=2000):
        return RELAY_SETTINGS % {
            "name": name, "zone": zone, "workers": workers,
            "act_within": act_within, "first_start": str(first_start).lower(),
            "store": store or "http://127.0.0.1:%d" % self.store.port}

    def start_relay(self, name="relay-1", is_ready=True, settings="",
                    max_files=None, **options):
        settings = self.write_settings(
            name, self.relay_settings(name, **options) + settings)
        if name in self.programs:
            self.programs[name].kill()
        program = Program(name, [BUILD + "/relay/siskin-relay", "--config",
                                 settings, "-v"], self.folder, max_files)
        self.programs[name] = program
        program.client_port = program.port(r"clients-listening port=(\d+)")
        program.ready_port = program.port(r"ready-listening port=(\d+)")
        program.admin_port = program.port(r"admin-listening port=(\d+)")
        if is_ready:
            wait_until(lambda: self.is_ready(program), READY_TIMEOUT_S,
                       name + " to be ready")
        return program

    def start_group(self, ranks=3, slots=6, **options):
        """Starts a group of engines and a pilot for each."""
        self.group = Group([self.add_replica("model", "abc"[i % 3],
                                             slots=slots)
                            for i in range(ranks)])
        asyncio.run_coroutine_threadsafe(self.group.run(), self.loop)
        return [self.start_pilot(i, **options) for i in range(ranks)]

    def wait_for_maps(self, more, timeout_s):
        """Waits until the group has changed its map MORE times."""
        wanted = len(self.group.versions) + more
        try:
            wait_until(lambda: len(self.group.versions) >= wanted, timeout_s,
                       "%d more maps" % more)
        except AssertionError as error:
            raise AssertionError("%s; %s" % (
                error, self.group.describe())) from None

    def start_pilot(self, rank, settings="", max_files=None, store_port=None):
        name = "pilot-%d" % rank
        replica = self.group.replicas[rank]
        settings = self.write_settings(name, PILOT_SETTINGS % {
            "name": name, "zone": replica.zone,
            "store": store_port or self.store.port,
            "upstream": replica.address()} + settings)
        if name in self.programs:
            self.programs[name].kill()
        program = Program(name, [BUILD + "/pilot/siskin-pilot", "--config",
                                 settings, "-v"], self.folder, max_files)
        self.programs[name] = program
        program.admin_port = program.port(r"admin-listening port=(\d+)")
        program.frame_port = program.port(r"frames-listening port=(\d+)")
        return program

    def is_ready(self, program):
        return self.get(program.ready_port, "/api/ready") == 200

    def get(self, port, path):
        """Returns the status, or None without a response."""
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        try:
            connection.request("GET", path)
            return connection.getresponse().status
        except OSError:
            return None
        finally:
            connection.close()

    def metrics(self, program):
        connection = http.client.HTTPConnection("127.0.0.1",
                                                program.admin_port, timeout=5)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        connection.close()
        return text

    def metric(self, program, name):
        """Returns the value of one counter or gauge."""
        for line in self.metrics(program).splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        raise KeyError(name)


def new_id():
    return uuid.uuid4().hex[:16]


class Caller:
    """A client's connection to a relay."""

    def __init__(self, relay, timeout_s=10):
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", relay.client_port, timeout=timeout_s)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.connection.close()

    def send(self, path, method="GET", body=None, key=KEY, request_id=None,
             deadline_ms=3000, headers=()):
        fields = {"Host": HOST, "Request-Id": request_id or new_id()}
        if key is not None:
            fields["Authorization"] = "Token " + key
        if deadline_ms is not None:
            fields["Deadline-Ms"] = str(deadline_ms)
        fields.update(dict(headers))
        self.connection.request(method, path, body=body, headers=fields)

    def receive(self):
        """Reads the response as it arrives.  Of a body without end only the
        start is kept, so that the time taken is the relay's."""
        response = self.connection.getresponse()
        body = bytearray()
        is_complete = False
        try:
            while piece := response.read(READ_BYTES):
                body += piece[:MAX_KEPT_BODY_BYTES - len(body)]
            # Bytes missing from the Content-Length raise no error here.
            is_complete = not response.length
        except (http.client.IncompleteRead, ConnectionError) as error:
            body += getattr(error, "partial", b"")
        return Response(response, bytes(body), is_complete)

    def ask(self, path, **options):
        self.send(path, **options)
        return self.receive()

    def reset(self):
        """Resets the connection."""
        sock = self.connection.sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        b"\1\0\0\0\0\0\0\0")
        self.connection.close()


def ask(relay, path, **options):
    with Caller(relay) as caller:
        return caller.ask(path, **options)
