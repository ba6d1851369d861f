"""Starts siskinspur's programs and the stand-ins on free loopback ports.

When the cluster is closed, each process started is killed by its id.
"""

import http.client
import json
import os
import re
import shutil
import signal
import subprocess
import tempfile
import time

BUILD = os.environ.get("SISKIN_BUILD", "build")
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 30
ENTRY_WORKERS = 2  # the default
FAULT_PATTERN = re.compile(
    "invariant-violated|lock order violated|Sanitizer|"
    "runtime error:|talloc: ")


class Response:
    def __init__(self, status, headers, body, is_complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    @property
    def outcome(self):
        return self.headers.get("Siskin-Outcome", "none")

    @property
    def refusal(self):
        return self.headers.get("Siskin-Refusal", "none")


class Program:
    """A process with its log, in which it reports its ports."""

    def __init__(self, name, arguments, folder, max_files=None):
        """MAX_FILES limits the descriptors of the process."""
        if max_files is not None:
            arguments = ["sh", "-c", 'ulimit -n %d; exec "$@"' % max_files,
                         "sh"] + arguments
        self.name = name
        self.log_name = os.path.join(folder, name + ".log")
        self.log = open(self.log_name, "w")
        self.process = subprocess.Popen(
            arguments, stdout=self.log, stderr=subprocess.STDOUT)

    def text(self):
        with open(self.log_name) as stream:
            return stream.read()

    def faults(self):
        """Returns log lines that indicate a bug in the program."""
        return ["%s: %s" % (self.name, line)
                for line in self.text().splitlines()
                if FAULT_PATTERN.search(line)]

    def port(self, pattern):
        return int(wait_until(
            lambda: (match := re.search(pattern, self.text()))
            and match.group(1),
            START_TIMEOUT_S, self.name + " to listen"))

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        """Requests a graceful stop and returns the exit status."""
        self.signal(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)

    def kill(self):
        if self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()


def wait_until(condition, timeout_s, what):
    """Polls condition() and returns its first true value."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError("timed out after %s s waiting for %s"
                         % (timeout_s, what))


class Cluster:
    """A store, upstreams with their agents, and entries."""

    ZONES = ["tt-south-1", "tt-south-2", "tt-south-3"]

    def __init__(self, rules):
        self.folder = tempfile.mkdtemp(prefix="siskin-")
        with open(rules) as stream:
            self.rules = stream.read()
        self.programs = {}
        self.previous_faults = []  # of processes that were replaced
        self.ports = {}
        self.inventory = ["name,address,zone,kind,service,model,group,rank"]
        self.revision = 0

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None and issubclass(kind, Exception):
            for program in self.programs.values():
                print("---", program.name)
                print("\n".join(program.text().splitlines()[-15:]))
        faults = self.previous_faults + [
            line for program in self.programs.values()
            for line in program.faults()]
        for program in reversed(list(self.programs.values())):
            program.kill()
        shutil.rmtree(self.folder)
        assert not faults, faults

    def _start(self, name, arguments, max_files=None):
        if name in self.programs:
            self.previous_faults += self.programs[name].faults()
            self.programs[name].kill()
        program = Program(name, arguments, self.folder, max_files)
        self.programs[name] = program
        return program

    def _write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w") as stream:
            stream.write(text)
        return path

    def start_store(self):
        program = self._start(
            "store", [BUILD + "/tests/standin-store", "127.0.0.1:0"])
        self.ports["store"] = program.port(r"port=(\d+)")

    def store_url(self):
        return "http://127.0.0.1:%d" % self.ports["store"]

    def start_upstream(self, name, zone, kind, service, model="", group="",
                       rank="", store=None, proxy=None):
        """Starts a stand-in upstream and its agent.

        STORE is the URL of the store for the agent.  PROXY is called with
        the agent's port and returns the port that entries connect to.
        """
        self.start_standin(name)
        port = self.start_agent(name, zone, store=store)
        if proxy is not None:
            port = proxy(port)
        self.inventory.append("%s,127.0.0.1:%d,%s,%s,%s,%s,%s,%s" % (
            name, port, zone, kind, service, model, group, rank))

    def start_standin(self, name, port=0, *settings):
        upstream = self._start(
            name, [BUILD + "/tests/standin-upstream", "127.0.0.1:%d" % port,
                   name] + list(settings))
        self.ports[name] = upstream.port(r"port=(\d+)")

    def start_agent(self, name, zone, port=0, store=None, settings="",
                    max_files=None):
        config = self._write(name + ".toml", (
            'name = "%s"\nzone = "%s"\nlisten = "127.0.0.1:%d"\n'
            'upstream = "http://127.0.0.1:%d"\nstore = ["%s"]\n%s') % (
                name, zone, port, self.ports[name],
                store or self.store_url(), settings))
        agent = self._start(
            name + "-agent",
            [BUILD + "/agent/siskin-agent", "--config", config], max_files)
        self.ports[name + "-admin"] = agent.port(r"admin-listening port=(\d+)")
        self.ports[name + "-agent"] = agent.port(r"frames-listening port=(\d+)")
        return self.ports[name + "-agent"]

    def restart_agent(self, name, zone):
        """Replaces the agent of NAME by a new process on the same port."""
        self.start_agent(name, zone, self.ports[name + "-agent"])

    def start_entry(self, name, zone, store=None, settings="",
                    max_files=None):
        config = self._write(name + ".toml", (
            'name = "%s"\nzone = "%s"\nstore = ["%s"]\n%s') % (
                name, zone, store or self.store_url(), settings))
        entry = self._start(
            name, [BUILD + "/entry/siskin-entry", "--config", config],
            max_files)
        self.ports[name + "-admin"] = entry.port(r"admin-listening port=(\d+)")
        self.ports[name] = entry.port(r"http-listening port=(\d+)")

    def _ctl_command(self, arguments):
        return [BUILD + "/ctl/siskinctl", "--store", self.store_url(),
                "--who", "test", "--why", "test"] + list(arguments)

    def ctl(self, *arguments):
        return subprocess.run(self._ctl_command(arguments),
                              capture_output=True, text=True, timeout=60)

    def start_ctl(self, *arguments):
        """Starts siskinctl without waiting for it."""
        return subprocess.Popen(self._ctl_command(arguments),
                                stdout=subprocess.DEVNULL,
                                stderr=subprocess.DEVNULL)

    def apply(self):
        rules = self._write("rules.toml", self.rules)
        inventory = self._write(
            "inventory.csv", "\n".join(self.inventory) + "\n")
        result = self.ctl("apply", rules, inventory, str(self.revision))
        assert result.returncode == 0, result.stderr
        self.revision += 1

    def health(self, name):
        status, _, body = self.raw("GET", self.ports[name + "-admin"],
                                   "/health")
        return json.loads(body) if status == 200 else None

    def metrics(self, name):
        _, _, body = self.raw("GET", self.ports[name + "-admin"], "/metrics")
        return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1])
                for line in body.decode().splitlines() if line[0] != "#"}

    def wait_for_settings(self, names, revision):
        for name in names:
            wait_until(
                lambda: (h := self.health(name)) and h["revision"] >= revision,
                START_TIMEOUT_S, "%s at revision %d" % (name, revision))

    def wait_for_links(self, entries, upstreams):
        """Waits until each worker of ENTRIES is connected to UPSTREAMS."""
        wanted = ENTRY_WORKERS * len(entries)
        for name in upstreams:
            wait_until(
                lambda: self.metrics(name)["siskin_agent_peers"] >= wanted,
                START_TIMEOUT_S, "%s to have %d peers" % (name, wanted))

    def control(self, name, query=""):
        """Sets a stand-in's settings by QUERY; returns its counters."""
        _, _, body = self.raw("POST" if query else "GET", self.ports[name],
                              "/control" + ("?" + query if query else ""))
        return json.loads(body)

    @staticmethod
    def raw(method, port, path, body=None, headers=None, timeout=30):
        connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=timeout)
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return response.status, dict(
                response.getheaders()), response.read()
        finally:
            connection.close()

    def call(self, entry, path, body, account="style-app", timeout=60,
             **headers):
        """Sends a request; underscores in header names become dashes."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports[entry], timeout=timeout)
        all_headers = {"Content-Type": "application/json",
                       "Siskin-Account": account}
        all_headers.update(
            {k.replace("_", "-"): v for k, v in headers.items()})
        try:
            connection.request("POST", path, json.dumps(body), all_headers)
            response = connection.getresponse()
            try:
                data, is_complete = response.read(), True
            except http.client.IncompleteRead as error:
                data, is_complete = error.partial, False
            return Response(response.status, dict(response.getheaders()), data,
                          is_complete)
        finally:
            connection.close()

    def chat(self, entry, tokens=16, tag="", **headers):
        """Sends a chat request; the stand-in puts TAG into each token."""
        return self.call(entry, "/v1/chat/completions", {
            "model": "style-assistant", "max_tokens": tokens, "stream": True,
            "user": tag,
            "messages": [{"role": "user", "content": "an outfit"}]},
            **headers)

    def book(self, entry, key, tag="", path="/bookings", **headers):
        """Sends a booking, which runs at most once per key."""
        return self.call(entry, path, {"user": tag}, Idempotency_Key=key,
                         **headers)

    def runs(self, names):
        """Returns how often each idempotency key ran on upstreams NAMES."""
        runs = {}
        for name in names:
            for key, count in self.control(name)["keys"].items():
                runs[key] = runs.get(key, 0) + count
        return runs
