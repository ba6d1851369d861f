#!/usr/bin/env python3
"""Randomised runs of real relays amid faults from outside them.

Clients, replicas and the store are stand-ins; proxies between them delay,
reset, silence and cut connections one way; relays are paused, killed, stopped
and made to read their settings again, in series that overlap.  What clients
and replicas see must keep the promises below (class Judge)."""

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
from platform_world import Caller, Platform, ask, new_id
from proxy import Proxy

RELAYS = 3
CLIENTS = 12
MOST_AT_ONCE = 6  # faults
STOP_TIMEOUT_S = 20
MOST_RUNS = 2  # a route's attempts
PIECES = 6
RETRY_RATIO = 0.2
RETRY_EXTRA = 94
QUIET_S = 3  # after the last fault, until all must be well again
CALM_REQUESTS = 30
PATHS = {"check": "GET", "book": "POST", "look": "POST"}
NOT_RUN = (408, 421, 429, 503)
# Seeds that failed once, with the cause.
REGRESSIONS = {
    8: "a cut answer without events was joined to a stream",
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
        self.reply = None  # None: no answer


class Client(threading.Thread):
    """Sends one request after the other, on a connection that it keeps."""

    def __init__(self, soak, seed):
        super().__init__()
        self.soak = soak
        self.random = random.Random(seed)
        self.outcomes = []

    def run(self):
        caller = None
        while not self.soak.is_over:
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
            except Exception as error:  # of http.client, on a broken head
                if type(error).__module__ != "http.client":
                    raise
                caller = None
            time.sleep(self.random.uniform(0, 0.05))


def allow_attempts(config):
    """Only their kind keeps bookings from being sent again."""
    for route in config["routes"]:
        route["max_attempts"] = MOST_RUNS


class Soak:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.platform = Platform()
        self.is_over = False
        self.relays = []
        self.broken = []
        self.story = []  # of the faults, for the report
        self.begun_at = time.monotonic()

    def note(self, text):
        self.story.append("%6.2f s %s" % (time.monotonic() - self.begun_at,
                                          text))

    def start_proxy(self, port):
        proxy = Proxy(port)
        self.platform.run(proxy.start())
        return proxy

    def start(self):
        self.platform.__enter__()
        self.platform.configure(allow_attempts)
        self.apps = [self.add("app", zone, replicas.answer_whole)
                     for zone in "abc"]
        self.models = [self.add("model", zone, replicas.stream(
            PIECES, starts_over=number % 2 == 1))
                       for number, zone in enumerate("abca")]
        self.store_proxies = [self.start_proxy(self.platform.store.port)
                              for _ in range(RELAYS)]
        self.relays = [self.start_relay(i, True) for i in range(RELAYS)]

    def add(self, service, zone, answer):
        replica = ProxiedReplica(self.platform.store, service, zone)
        replica.usual = replica.answer = answer
        self.platform.run(replica.start())
        self.platform.replicas.append(replica)
        return replica

    def start_relay(self, number, is_first=False):
        return self.platform.start_relay(
            "relay-%d" % number, zone="abc"[number % 3], is_ready=is_first,
            first_start=is_first, workers=1 + number % 2,
            store="http://127.0.0.1:%d" % self.store_proxies[number].port)

    # Faults: each begins, lasts, and is undone by what it returns.

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
                return  # it was killed meanwhile
            relay.signal(signal.SIGCONT)
            status = relay.process.wait(STOP_TIMEOUT_S)
            # One that has not said anything yet may just end.
            if status not in (0, 3) and (status != -signal.SIGTERM
                                         or relay.text() != ""):
                self.broken.append("%s ended with %d: %s" % (
                    relay.name, status, [
                        line for line in relay.text().splitlines()
                        if "level=INFO" not in line][-8:]))
            self.relays[number] = self.start_relay(number)
        return relay.name, replace

    def reload_relay(self):
        relay = self.random.choice(self.relays)
        relay.signal(signal.SIGHUP)
        return relay.name, lambda: None

    def spoil(self, proxy, name):
        mode = self.random.choice(["reset", "delay", "silent", "to", "from"])
        if mode == "reset":
            self.platform.loop.call_soon_threadsafe(proxy.reset)
            return name + " reset", lambda: None
        proxy.sticks = self.random.random() < 0.5
        proxy.mode = mode
        return "%s %s" % (name, mode), lambda: setattr(proxy, "mode", "pass")

    def spoil_store(self):
        number = self.random.randrange(RELAYS)
        return self.spoil(self.store_proxies[number], "store of %d" % number)

    def spoil_replica(self):
        replica = self.random.choice(self.apps + self.models)
        return self.spoil(replica.proxy, replica.id)

    def trouble_store(self):
        store = self.platform.store
        store.trouble = self.random.choice(["busy", "silent", "reset",
                                            "refuse-some"])
        return store.trouble, lambda: setattr(store, "trouble", None)

    def forget_history(self):
        self.platform.loop.call_soon_threadsafe(
            self.platform.store.forget_history)
        return "", lambda: None

    def change_rules(self):
        return "version %d" % self.platform.configure(), lambda: None

    def sicken_replica(self):
        replica = self.random.choice(self.apps + self.models)
        # Broken off most of all.
        answers = 3 * [replicas.reset, replicas.cut_short] + [
            replicas.fail(500), replicas.garbage, replicas.decline,
            replicas.answer_twice, replicas.answer_foreign, replicas.hang]
        if replica.service == "model":
            answers += [*3 * [replicas.stream(PIECES, stop_after=3)],
                        replicas.stream(PIECES, stop_after=2, then="hang")]
        replica.answer = self.random.choice(answers)
        return replica.id, lambda: setattr(replica, "answer", replica.usual)

    def drain_replica(self):
        replica = self.random.choice(self.apps + self.models)
        replica.state = "draining"
        return replica.id, lambda: setattr(replica, "state", "ready")

    faults = [pause_relay, kill_relay, stop_relay, reload_relay, spoil_store,
              spoil_replica, spoil_replica, trouble_store, forget_history,
              change_rules, sicken_replica, sicken_replica, drain_replica]

    def play(self, seconds):
        """Begin faults, several at once, until the time is up; undo all."""
        end = time.monotonic() + seconds
        under_way = []  # (when it ends, how it is undone)
        while time.monotonic() < end or under_way:
            now = time.monotonic()
            for fault in [each for each in under_way if each[0] <= now]:
                under_way.remove(fault)
                fault[1]()
            if now < end and len(under_way) < MOST_AT_ONCE:
                begin = self.random.choice(self.faults)
                name, undo = begin(self)
                self.note("%s %s" % (begin.__name__, name))
                under_way.append((now + self.random.uniform(0.1, 1.5), undo))
            time.sleep(self.random.uniform(0.02, 0.15))

    def run(self, seconds):
        clients = [Client(self, self.random.random()) for _ in range(CLIENTS)]
        for client in clients:
            client.start()
        try:
            self.play(seconds)
        finally:
            self.is_over = True
            for client in clients:
                client.join()
        return [outcome for client in clients for outcome in client.outcomes]


class Judge:
    """The promises that clients and replicas are made."""

    def __init__(self, soak, outcomes):
        self.soak = soak
        self.outcomes = outcomes
        self.broken = soak.broken
        self.runs = {}
        for run in soak.platform.runs():
            self.runs.setdefault(run.headers["request-id"], []).append(run)

    def runs_of(self, outcome):
        return self.runs.get(outcome.request, [])

    def expect(self, is_kept, outcome, text):
        if not is_kept:
            self.broken.append("%s %s: %s" % (outcome.kind, outcome.request,
                                              text))

    def judge_runs(self, outcome):
        count = len(self.runs_of(outcome))
        most = 1 if outcome.kind == "book" else MOST_RUNS
        self.expect(count <= most, outcome, "ran %d times" % count)
        if outcome.kind == "book" and outcome.reply is not None \
                and outcome.reply.status in NOT_RUN:
            self.expect(count == 0, outcome, "%d, though it ran"
                        % outcome.reply.status)

    def judge_answer(self, outcome):
        reply = outcome.reply
        if reply is None or reply.status != 200:
            return
        # Some sick models answer with a plain body.
        if "event-stream" not in reply.headers.get("Content-Type", ""):
            self.expect(not reply.is_whole or reply.body.endswith(
                outcome.request.encode()), outcome, "another's answer: %r"
                % reply.body[:80])
            return
        numbers = [int(number) for number in
                   re.findall(rb"data: piece-(\d+)\n\n", reply.body)]
        self.expect(numbers == list(range(1, len(numbers) + 1)), outcome,
                    "pieces %s" % numbers)
        self.expect(not reply.is_whole or len(numbers) == PIECES, outcome,
                    "told as whole with %d pieces" % len(numbers))

    def judge_repeats(self):
        """The whole run is about as long as the budget's window."""
        for service, kinds in (("app", ("check", "book")),
                               ("model", ("look",))):
            asked = [each for each in self.outcomes if each.kind in kinds]
            repeats = sum(max(0, len(self.runs_of(each)) - 1)
                          for each in asked)
            allowed = RETRY_RATIO * len(asked) + RETRY_EXTRA
            if repeats > allowed:
                self.broken.append("%d repeats to %s for %d requests"
                                   % (repeats, service, len(asked)))

    def judge_recovery(self):
        """Soon after the last fault each request is served."""
        time.sleep(QUIET_S)
        for relay in self.soak.relays:
            wait_until(lambda: self.soak.platform.is_ready(relay), 10,
                       relay.name + " to be ready again")
        for i in range(CALM_REQUESTS):
            kind = list(PATHS)[i % len(PATHS)]
            outcome = Outcome(kind, new_id())
            outcome.reply = ask(
                self.soak.relays[i % RELAYS], "/%s/%s" % (kind,
                                                          outcome.request),
                method=PATHS[kind], request_id=outcome.request)
            self.expect(outcome.reply.status == 200, outcome,
                        "%d in calm times" % outcome.reply.status)

    def judge(self):
        for outcome in self.outcomes:
            self.judge_runs(outcome)
            self.judge_answer(outcome)
        self.judge_repeats()
        self.judge_recovery()
        return self.broken


def run_seed(seed, seconds):
    """Returns what was broken, with the story that led to it."""
    soak = Soak(seed)
    try:
        soak.start()
        outcomes = soak.run(seconds)
        broken = Judge(soak, outcomes).judge()
        served = sum(each.reply is not None and each.reply.status == 200
                     for each in outcomes)
        print("seed %d: %d faults, %d requests, %d served, %d promises broken"
              % (seed, len(soak.story), len(outcomes), served, len(broken)),
              flush=True)
        if broken:
            print("\n".join(soak.story + broken[:10]))
            keep_logs(soak, seed)
        return broken
    finally:
        for relay in soak.relays:
            if relay.process.poll() is None:
                relay.signal(signal.SIGCONT)
        soak.platform.__exit__(None, None, None)


def keep_logs(soak, seed):
    folder = os.environ.get("SISKIN_SOAK_LOGS")
    if folder is None:
        return
    for name, program in soak.platform.programs.items():
        path = os.path.join(folder, "soak-%d-%s.log" % (seed, name))
        with open(path, "w") as stream:
            stream.write(program.text())


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="first; fresh by default")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=8,
                        help="of faults, for each seed")
    parser.add_argument("--regressions", action="store_true",
                        help="also the seeds that failed once")
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
