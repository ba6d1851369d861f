"""A small deployment on loopback for the cases of this review: the programs
under test, started with the commands of the deploy file and its templates, and
the project's own stand-ins of the store and the replicas."""

import asyncio
import json
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))

from platform_replicas import Replica  # noqa: E402
from platform_store import Store  # noqa: E402

SETTINGS_PATH = "/etc/siskinspur/local.yaml"
START_TIMEOUT_S = 15
HOST = "shop.example"
KEY = "key-of-tenant-1"
TENANT = "tenant-1"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def trouble():
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def need_files(count):
    """Lets this process, with its stand-ins and clients, open COUNT files."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < count:
        raise RuntimeError("only %d files can be opened" % hard)
    if soft != resource.RLIM_INFINITY and soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def run_case(main):
    """Exits with what MAIN returns, or with NOT_RUN if it could not run.
    The processes that were started end in both cases."""
    def stop(*_):
        raise RuntimeError("the case was stopped")
    signal.signal(signal.SIGTERM, stop)
    try:
        result = main()
    except Exception as error:
        traceback.print_exc()
        print("the case could not run:", error, flush=True)
        result = NOT_RUN
    sys.exit(result)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def render(template, values):
    """Fills in a template of settings as DEPLOY.md tells, as far as the
    templates of this project need it."""
    def lookup(name, scope):
        if name == ".":
            return scope["."]
        if name == "@":
            return scope["@"]
        found = values
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) \
                else found[part]
        return found

    def text(value):
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)

    def section(match):
        items = lookup(match.group(1), {})
        parts = []
        for index, (key, value) in enumerate(items.items()):
            part = match.group(2).replace("{{@}}", text(key))
            part = part.replace("{{.}}", text(value))
            parts.append(part.replace(
                "{{,}}", "," if index + 1 < len(items) else ""))
        return "".join(parts)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                      flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: text(lookup(match.group(1), {})), template)


class Program:
    """A process under test, and its log."""

    def __init__(self, name, arguments, folder, max_files=None):
        if max_files is not None:
            arguments = ["sh", "-c", 'ulimit -n %d && exec "$@"' % max_files,
                         "sh"] + arguments
        self.name = name
        self.log_name = os.path.join(folder, name + ".log")
        self.log = open(self.log_name, "w")
        self.process = subprocess.Popen(arguments, cwd=ROOT, stdout=self.log,
                                        stderr=subprocess.STDOUT)

    def text(self):
        with open(self.log_name) as stream:
            return stream.read()

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, case_file):
        folder = os.path.dirname(os.path.abspath(case_file))
        self.stream = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def line(self, text):
        self.stream.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
        self.stream.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


class Deployment:
    """Use it in a with block.  The stand-ins run on an asyncio loop in a
    thread of their own."""

    def __init__(self, config, bounds=None, limits=None):
        self.folder = tempfile.mkdtemp(prefix="siskin-review-")
        self.config = config
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.store = Store()
        self.replicas = []
        self.programs = {}
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as stream:
            self.roles = tomllib.load(stream)["roles"]
        self.bounds = {"config_apply_ms": 2000, "drain_ms": 2000,
                       "grace_s": 8, "retry_budget_ratio": 0.2,
                       "retry_budget_extra": 94, "budget_window_s": 10}
        self.bounds.update(bounds or {})
        self.limits = {"cores": 1, "memory_mb": 260, "link_mbps": 1000.0}
        self.limits.update(limits or {})

    def __enter__(self):
        self.thread.start()
        self.run(self.store.start())
        self.put("op/config", self.config)
        return self

    def __exit__(self, *_):
        for program in self.programs.values():
            program.end()
        self.run(self.close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def close(self):
        for part in [self.store, *self.replicas]:
            part.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(
            coroutine, self.loop).result(30)

    def put(self, key, value):
        return self.run(self.store.write(
            {key: (json.dumps(value).encode(), 0)}))

    def remove(self, *keys):
        return self.run(self.store.write({}, keys))

    def add_replica(self, service, zone, **options):
        replica = Replica(self.store, service, zone, **options)
        self.run(replica.start())
        self.replicas.append(replica)
        return replica

    def runs(self):
        """Returns the ids of the requests that replicas began to run."""
        return [request.headers["request-id"] for replica in self.replicas
                for request in list(replica.runs)]

    def start_relay(self, name="front-a-1", zone="a", bootstrap=True,
                    max_files=None, store_port=None):
        role = self.roles["relay"]
        ports = [free_port() for _ in range(4)]
        values = {
            "node": name, "zone": zone, "ip": "127.0.0.1",
            "zones": {"a": "south", "b": "south", "c": "south"},
            "listen": {"front": "127.0.0.1:%d" % ports[0],
                       "ready": "127.0.0.1:%d" % ports[1]},
            "internal_ports": [ports[2], ports[3]],
            "bootstrap": bootstrap, "bounds": self.bounds,
            "limits": self.limits,
            "platform": {"address": "127.0.0.1:%d" % (
                store_port or self.store.port)}}
        with open(os.path.join(ROOT, role["template"])) as stream:
            settings = render(stream.read(), values)
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w") as stream:
            stream.write(settings)
        arguments = role["run"].replace(SETTINGS_PATH, path).split(" ")
        program = Program(name, arguments, self.folder, max_files)
        program.client_port, program.ready_port = ports[:2]
        self.programs[name] = program
        end = time.monotonic() + START_TIMEOUT_S
        while not is_ready(program.ready_port):
            if time.monotonic() > end or program.process.poll() is not None:
                raise RuntimeError("%s is not ready:\n%s" % (
                    name, program.text()[-2000:]))
            time.sleep(0.05)
        return program


def is_ready(port):
    try:
        with socket.create_connection(("127.0.0.1", port), 2) as probe:
            probe.sendall(b"GET /api/ready HTTP/1.1\r\nHost: node\r\n"
                          b"Connection: close\r\n\r\n")
            return probe.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def route(name, kind, service, **options):
    fields = {"name": name, "host": HOST, "prefix": "/" + name + "/",
              "kind": kind, "service": service, "timeout_ms": 3000,
              "slo_ms": 300, "gap_slo_ms": 120, "priority": 1,
              "max_attempts": 2 if kind != "non_idempotent" else 1,
              "resumable": kind == "streaming"}
    fields.update(options)
    return fields


def configuration(routes, services, **limits):
    bounds = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
              "header_timeout_ms": 5000, "idle_timeout_ms": 5000}
    bounds.update(limits)
    return {"version": 5, "routes": routes,
            "services": [{"name": name, "health_path": "/health",
                          "max_conns": 700, "cold_s": 0, "cold_per_s": 0}
                         for name in services],
            "limits": bounds,
            "tenants": [{"name": TENANT, "keys": [KEY]}]}


def request_bytes(method, path, request_id, body=b"", deadline_ms=2500,
                  fields=()):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
             "Request-Id: " + request_id, "Authorization: Token " + KEY,
             "Deadline-Ms: %d" % deadline_ms]
    if body or method != "GET":
        lines.append("Content-Length: %d" % len(body))
    lines += ["%s: %s" % field for field in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader):
    """Returns status, headers and the whole body of an answer with a
    length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, value in
               (line.split(":", 1) for line in lines[1:] if ":" in line)}
    status = int(lines[0].split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return status, headers, body
    size = int(headers.get("content-length", 0))
    return status, headers, await reader.readexactly(size)
