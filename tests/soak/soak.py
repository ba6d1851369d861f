#!/usr/bin/env python3
"""Randomised runs of real relays with external faults.

Clients, replicas and the store are stand-ins.  Proxies between them delay,
reset and block connections, also in one direction only; relays are paused,
killed, stopped and made to reload their settings; the faults overlap.  The
guarantees in class Checker must hold for what clients and replicas observe.
"""

import argparse
import os
import random
import re
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "process"))

import platform_replicas as replicas
from cluster import wait_until
from platform_fixture import Caller, Platform, ask, new_id
from proxy import Proxy

RELAYS = 3
CLIENTS = 12
MAX_CONCURRENT_FAULTS = 6
STOP_TIMEOUT_S = 20
MAX_ATTEMPTS = 2  # of each route
STREAM_PIECES = 6
RETRY_RATIO = 0.2
RETRY_EXTRA = 94
RECOVERY_S = 3  # from the last fault until all requests must be served
RECOVERY_REQUESTS = 30
PATHS = {"check": "GET", "book": "POST", "look": "POST"}
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Seeds that have failed, with the cause.
REGRESSIONS = {
    8: "a truncated response without events was joined to a stream",
    10: "a stop that was cut short freed calls before their clients",
}


class ProxiedReplica(replicas.Replica):
    async def start(self, port=0):
        self.proxy = Proxy(0)
        await self.proxy.start()
        await super().start(port)
        self.proxy.target = self.port

    def address(self):
        return "127.0.0.1:%d" % self.proxy.port

    def close(self):
        super().close()
        self.proxy.close()


class Outcome:
    def __init__(self, kind, request):
        self.kind = kind
        self.request = request
        self.reply = None  # None: no response


class Client(threading.Thread):
    """Sends requests one after the other on a persistent connection."""

    def __init__(self, soak, seed):
        super().__init__()
        self.soak = soak
        self.random = random.Random(seed)
        self.outcomes = []

    def run(self):
        caller = None
        while not self.soak.is_stopping:
            if caller is None or self.random.random() < 0.1:
                relay = self.random.choice(self.soak.relays)
                caller = Caller(relay, timeout_s=4)
            kind = self.random.choice(list(PATHS))
            outcome = Outcome(kind, new_id())
            self.outcomes.append(outcome)
            try:
                outcome.reply = caller.ask(
                    "/%s/%s" % (kind, outcome.request), method=PATHS[kind],
                    body=b"x" if PATHS[kind] == "POST" else None,
                    request_id=outcome.request, deadline_ms=2500)
            except OSError:
                caller = None
            except Exception as error:  # http.client: a malformed response
                if type(error).__module__ != "http.client":
                    raise
                caller = None
            time.sleep(self.random.uniform(0, 0.05))


def allow_retries(config):
    """Allows retries on all routes: only the kind of their route keeps
    bookings from being sent again."""
    for route in config["routes"]:
        route["max_attempts"] = MAX_ATTEMPTS


class Soak:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.platform = Platform()
        self.is_stopping = False
        self.relays = []
        self.violations = []
        self.fault_log = []  # for the report
        self.started_at = time.monotonic()

    def record_fault(self, text):
        self.fault_log.append("%6.2f s %s"
                              % (time.monotonic() - self.started_at, text))

    def start_proxy(self, port):
        proxy = Proxy(port)
        self.platform.run(proxy.start())
        return proxy

    def start(self):
        self.platform.__enter__()
        self.platform.configure(allow_retries)
        self.apps = [self.add("app", zone, replicas.answer_normally)
                     for zone in "abc"]
        self.models = [self.add("model", zone, replicas.stream(
            STREAM_PIECES, starts_over=number % 2 == 1))
                       for number, zone in enumerate("abca")]
        self.store_proxies = [self.start_proxy(self.platform.store.port)
                              for _ in range(RELAYS)]
        self.relays = [self.start_relay(i, True) for i in range(RELAYS)]

    def add(self, service, zone, answer):
        replica = ProxiedReplica(self.platform.store, service, zone)
        replica.default_answer = replica.answer = answer
        self.platform.run(replica.start())
        self.platform.replicas.append(replica)
        return replica

    def start_relay(self, number, is_first=False):
        return self.platform.start_relay(
            "relay-%d" % number, zone="abc"[number % 3], is_ready=is_first,
            first_start=is_first, workers=1 + number % 2,
            store="http://127.0.0.1:%d" % self.store_proxies[number].port)

    # Faults: each returns a description and a function that ends it.

    def pause_relay(self):
        relay = self.random.choice(self.relays)
        relay.signal(signal.SIGSTOP)
        return relay.name, lambda: relay.process.poll() is None \
            and relay.signal(signal.SIGCONT)

    def kill_relay(self):
        number = self.random.randrange(RELAYS)
        self.relays[number].kill()
        self.relays[number] = self.start_relay(number)
        return self.relays[number].name, lambda: None

    def stop_relay(self):
        number = self.random.randrange(RELAYS)
        relay = self.relays[number]
        relay.signal(signal.SIGTERM)

        def replace():
            if self.relays[number] is not relay:
                return  # it has been killed since
            relay.signal(signal.SIGCONT)
            status = relay.process.wait(STOP_TIMEOUT_S)
            # SIGTERM may end a relay before it has installed its handler,
            # that is, before its first log line.
            if status not in (0, 3) and (status != -signal.SIGTERM
                                         or relay.text() != ""):
                self.violations.append("%s ended with %d: %s" % (
                    relay.name, status, [
                        line for line in relay.text().splitlines()
                        if "level=INFO" not in line][-8:]))
            self.relays[number] = self.start_relay(number)
        return relay.name, replace

    def reload_relay(self):
        relay = self.random.choice(self.relays)
        relay.signal(signal.SIGHUP)
        return relay.name, lambda: None

    def disturb_proxy(self, proxy, name):
        mode = self.random.choice(["reset", "delay", "silent", "to", "from"])
        if mode == "reset":
            self.platform.loop.call_soon_threadsafe(proxy.reset)
            return name + " reset", lambda: None
        proxy.blocks_permanently = self.random.random() < 0.5
        proxy.mode = mode
        return "%s %s" % (name, mode), lambda: setattr(proxy, "mode", "pass")

    def disturb_store_connection(self):
        number = self.random.randrange(RELAYS)
        return self.disturb_proxy(self.store_proxies[number],
                                  "store of %d" % number)

    def disturb_replica_connection(self):
        replica = self.random.choice(self.apps + self.models)
        return self.disturb_proxy(replica.proxy, replica.id)

    def fail_store(self):
        store = self.platform.store
        store.failure_mode = self.random.choice(["busy", "silent", "reset",
                                                 "refuse-some"])
        return store.failure_mode, lambda: setattr(store, "failure_mode",
                                                   None)

    def compact_history(self):
        self.platform.loop.call_soon_threadsafe(
            self.platform.store.compact_history)
        return "", lambda: None

    def change_rules(self):
        return "version %d" % self.platform.configure(), lambda: None

    def fail_replica(self):
        replica = self.random.choice(self.apps + self.models)
        # Aborted connections and truncated responses: three times as likely.
        answers = 3 * [replicas.reset, replicas.truncate_response] + [
            replicas.fail(500), replicas.garbage, replicas.decline,
            replicas.answer_twice, replicas.answer_another_request,
            replicas.hang]
        if replica.service == "model":
            answers += [*3 * [replicas.stream(STREAM_PIECES, stop_after=3)],
                        replicas.stream(STREAM_PIECES, stop_after=2,
                                        then="hang")]
        replica.answer = self.random.choice(answers)
        return replica.id, lambda: setattr(replica, "answer",
                                           replica.default_answer)

    def drain_replica(self):
        replica = self.random.choice(self.apps + self.models)
        replica.state = "draining"
        return replica.id, replica.start_again

    def restore_store(self):
        """The store comes back from a copy, and the operator writes again
        what is missing, as the replicas do by themselves."""
        store = self.platform.store
        saved = self.platform.run_function(store.copy)

        def restore():
            self.platform.run_function(store.restore, saved)
            self.platform.put("op/config", self.platform.config)
        return "", restore

    # Faults that are listed twice are twice as likely.
    faults = [pause_relay, kill_relay, stop_relay, reload_relay,
              disturb_store_connection, disturb_replica_connection,
              disturb_replica_connection, fail_store, compact_history,
              restore_store,
              change_rules, fail_replica, fail_replica, drain_replica]

    def inject_faults(self, seconds):
        """Starts overlapping faults for SECONDS, and ends all of them."""
        end = time.monotonic() + seconds
        active_faults = []  # (time of its end, function that ends it)
        while time.monotonic() < end or active_faults:
            now = time.monotonic()
            for fault in [each for each in active_faults if each[0] <= now]:
                active_faults.remove(fault)
                fault[1]()
            if now < end and len(active_faults) < MAX_CONCURRENT_FAULTS:
                inject = self.random.choice(self.faults)
                name, undo = inject(self)
                self.record_fault("%s %s" % (inject.__name__, name))
                active_faults.append(
                    (now + self.random.uniform(0.1, 1.5), undo))
            time.sleep(self.random.uniform(0.02, 0.15))

    def run(self, seconds):
        clients = [Client(self, self.random.random()) for _ in range(CLIENTS)]
        for client in clients:
            client.start()
        try:
            self.inject_faults(seconds)
        finally:
            self.is_stopping = True
            for client in clients:
                client.join()
        return [outcome for client in clients for outcome in client.outcomes]


class Checker:
    """Checks the guarantees to clients and replicas."""

    def __init__(self, soak, outcomes):
        self.soak = soak
        self.outcomes = outcomes
        self.violations = soak.violations
        self.runs = {}
        for run in soak.platform.runs():
            self.runs.setdefault(run.headers["request-id"], []).append(run)

    def runs_of(self, outcome):
        return self.runs.get(outcome.request, [])

    def expect(self, is_satisfied, outcome, text):
        if not is_satisfied:
            self.violations.append("%s %s: %s" % (
                outcome.kind, outcome.request, text))

    def check_runs(self, outcome):
        count = len(self.runs_of(outcome))
        max_runs = 1 if outcome.kind == "book" else MAX_ATTEMPTS
        self.expect(count <= max_runs, outcome, "ran %d times" % count)
        if outcome.kind == "book" and outcome.reply is not None \
                and outcome.reply.status in NOT_RUN_STATUSES:
            self.expect(count == 0, outcome, "%d, though it ran"
                        % outcome.reply.status)

    def check_response(self, outcome):
        reply = outcome.reply
        if reply is None or reply.status != 200:
            return
        # Some simulated faults of model replicas respond with a plain body
        # instead of an event stream.
        if "event-stream" not in reply.headers.get("Content-Type", ""):
            self.expect(not reply.is_complete or reply.body.endswith(
                outcome.request.encode()), outcome, "another's response: %r"
                % reply.body[:80])
            return
        numbers = [int(number) for number in
                   re.findall(rb"data: piece-(\d+)\n\n", reply.body)]
        self.expect(numbers == list(range(1, len(numbers) + 1)), outcome,
                    "pieces %s" % numbers)
        self.expect(not reply.is_complete or len(numbers) == STREAM_PIECES,
                    outcome, "ended as complete after %d pieces"
                    % len(numbers))

    def check_retry_budget(self):
        """Checks the retry budget.  The complete run takes about as long as
        its window."""
        for service, kinds in (("app", ("check", "book")),
                               ("model", ("look",))):
            requests = [each for each in self.outcomes if each.kind in kinds]
            retries = sum(max(0, len(self.runs_of(each)) - 1)
                          for each in requests)
            allowed = RETRY_RATIO * len(requests) + RETRY_EXTRA
            if retries > allowed:
                self.violations.append("%d retries to %s for %d requests"
                                       % (retries, service, len(requests)))

    def check_recovery(self):
        """Checks that each request is served soon after the last fault."""
        time.sleep(RECOVERY_S)
        for relay in self.soak.relays:
            wait_until(lambda: self.soak.platform.is_ready(relay), 10,
                       relay.name + " to be ready again")
        for i in range(RECOVERY_REQUESTS):
            kind = list(PATHS)[i % len(PATHS)]
            outcome = Outcome(kind, new_id())
            outcome.reply = ask(
                self.soak.relays[i % RELAYS], "/%s/%s" % (kind,
                                                          outcome.request),
                method=PATHS[kind], request_id=outcome.request)
            self.expect(outcome.reply.status == 200, outcome,
                        "%d after the last fault" % outcome.reply.status)

    def check(self):
        for outcome in self.outcomes:
            self.check_runs(outcome)
            self.check_response(outcome)
        self.check_retry_budget()
        self.check_recovery()
        return self.violations


def run_seed(seed, seconds):
    """Returns the violations; prints them after the faults."""
    soak = Soak(seed)
    try:
        soak.start()
        outcomes = soak.run(seconds)
        violations = Checker(soak, outcomes).check()
        served = sum(each.reply is not None and each.reply.status == 200
                     for each in outcomes)
        print("seed %d: %d faults, %d requests, %d served, %d violations"
              % (seed, len(soak.fault_log), len(outcomes), served,
                 len(violations)),
              flush=True)
        if violations:
            print("\n".join(soak.fault_log + violations[:10]))
            save_logs(soak, seed)
        return violations
    finally:
        for relay in soak.relays:
            if relay.process.poll() is None:
                relay.signal(signal.SIGCONT)
        soak.platform.__exit__(None, None, None)


def save_logs(soak, seed):
    folder = os.environ.get("SISKIN_SOAK_LOGS")
    if folder is None:
        return
    for name, program in soak.platform.programs.items():
        path = os.path.join(folder, "soak-%d-%s.log" % (seed, name))
        with open(path, "w") as stream:
            stream.write(program.text())


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int,
                        help="the first seed (default: random)")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=8,
                        help="duration of the faults of each seed")
    parser.add_argument("--regressions", action="store_true",
                        help="also run the seeds that have failed")
    options = parser.parse_args()
    first = options.seed
    if first is None:
        first = random.SystemRandom().randrange(1 << 32)
    seeds = [first + i for i in range(options.seeds)]
    if options.regressions:
        seeds += list(REGRESSIONS)
    failed = [seed for seed in seeds if run_seed(seed, options.seconds)]
    print("%d seeds, failed: %s" % (len(seeds), failed or "none"))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
