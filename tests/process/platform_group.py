"""Simulates a lock-step group of the platform's engines.  It records what
the tests of the pilots check: the map versions that each step ran with."""

import asyncio
import collections
import json
import random
import time

LAYERS = 2  # sets of layers that share a choice of experts
EXPERTS = 12
STEP_S = 0.02


def initial_map(ranks):
    return [[[e for e in range(EXPERTS) if e % ranks == rank]
             for rank in range(ranks)] for _ in range(LAYERS)]


class Rank:
    def __init__(self, number, experts):
        self.number = number
        self.version = 0
        self.experts = experts  # by layer
        self.map = None  # of all ranks, as in the order; None for the first map
        self.prepared = None  # (version, map)
        self.armed = None  # (version, step)
        self.held = None  # step that must not begin
        self.fence = 0
        self.newest_version = 0  # highest version prepared
        self.counts = [0] * (LAYERS * EXPERTS)


class Group:
    def __init__(self, replicas):
        self.replicas = replicas
        self.epoch = 1
        self.step = 0
        self.slowdown = 1.0
        self.slow_ranks = {}  # rank: its slowdown, if another one
        self.mixed_steps = 0  # steps in which ranks used different maps
        self.versions = []  # map versions used, in order
        self.last_step_at = time.monotonic()
        self.longest_stall_s = 0.0
        self.held_s = 0.0  # in all
        self.loss_ratio = 0.0  # commands without an answer, executed late
        self.random = random.Random(1)
        # A report requested from another machine than the rank's own is this
        # old.  While a rank's pilot is down, only other machines ask.
        self.report_lag_s = 0.0
        self.ranks_without_pilot = set()
        self.past_reports = collections.deque()
        self.unanswered = {}  # rank: operations that are lost
        plan = initial_map(len(replicas))
        self.ranks = [Rank(i, [plan[s][i] for s in range(LAYERS)])
                      for i in range(len(replicas))]
        for replica in replicas:
            replica.group = self

    async def run(self):
        while True:
            await asyncio.sleep(STEP_S)
            self.begin_step()
            self.record_reports()

    def begin_step(self):
        """Begins the next step at all ranks, unless one of them is held."""
        if any(rank.held == self.step + 1 for rank in self.ranks):
            self.held_s += STEP_S
            return
        now = time.monotonic()
        self.longest_stall_s = max(self.longest_stall_s,
                                   now - self.last_step_at)
        self.last_step_at = now
        self.step += 1
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                rank.version, rank.map = rank.prepared
                rank.experts = [layer[rank.number] for layer in rank.map]
                rank.armed = rank.prepared = None
            self.count_tokens(rank)
        versions = {rank.version for rank in self.ranks}
        maps = {repr(rank.map) for rank in self.ranks}
        self.mixed_steps += len(versions) > 1 or len(maps) > 1
        if len(versions) == 1 and versions != set(self.versions[-1:]):
            self.versions += versions

    def count_tokens(self, rank):
        """Counts tokens; the popular experts change every two seconds."""
        popular = int(self.step * STEP_S / 2) % EXPERTS
        for layer in range(LAYERS):
            for expert in range(EXPERTS):
                rank.counts[layer * EXPERTS + expert] += \
                    40 if expert in (popular, (popular + 5) % EXPERTS) else 2

    def record_reports(self):
        now = time.monotonic()
        reports = [self.report(replica, rank)
                   for replica, rank in zip(self.replicas, self.ranks)]
        self.past_reports.append((now, reports))
        while self.past_reports[0][0] < now - self.report_lag_s - 1:
            self.past_reports.popleft()

    def old_report(self, rank):
        """Returns what another machine gets."""
        limit = time.monotonic() - self.report_lag_s
        old = [reports for at, reports in self.past_reports if at <= limit]
        return (old[-1] if old else self.past_reports[0][1])[rank.number]

    def stall_s(self):
        return time.monotonic() - self.last_step_at

    def describe(self):
        return "step %d, stalled for %.1f s, %s" % (
            self.step, self.stall_s(), [vars(rank) | {"counts": None}
                                        for rank in self.ranks])

    # The HTTP calls of a pilot to an engine.

    def call(self, replica, request):
        rank = self.ranks[self.replicas.index(replica)]
        if request.path == "/api/report":
            if rank.number in self.ranks_without_pilot:
                return 200, self.old_report(rank)
            return 200, self.report(replica, rank)
        if request.path == "/api/picked":
            return 200, self.picked(rank, "lists" in request.query)
        command = json.loads(request.body)
        if command["operation"] in self.unanswered.get(rank.number, ()):
            return None, None
        if self.random.random() >= self.loss_ratio:
            return self.execute(rank, command)
        asyncio.get_running_loop().call_later(
            self.random.uniform(0.1, 1.5), self.execute, rank, command)
        return None, None

    def report(self, replica, rank):
        return {"service": replica.service, "id": replica.id,
                "group": {"name": "g", "epoch": self.epoch,
                          "rank": rank.number, "state": "open"},
                "size": len(self.ranks), "born": replica.born,
                "step": self.step, "map": rank.version,
                "active": 3, "queued": 0, "kv_used": 100, "kv_total": 40000,
                "pace": self.slow_ranks.get(rank.number, self.slowdown),
                "prepared": rank.prepared and rank.prepared[0],
                "armed": rank.armed and {"version": rank.armed[0],
                                         "step": rank.armed[1]},
                "held": rank.held}

    def picked(self, rank, with_lists):
        body = {"step": self.step, "epoch": self.epoch}
        if with_lists:
            body["map"] = {"version": rank.version, "experts": rank.experts}
            body["prepared"] = None
        else:
            body["counts"] = rank.counts
        return body

    def execute(self, rank, command):
        if command["fence"] < rank.fence:
            return 412, {}
        rank.fence = command["fence"]
        if command["epoch"] != self.epoch:
            return 409, {}
        is_done = getattr(self, command["operation"])(rank, command)
        return (200 if is_done else 409), {}

    def prepare(self, rank, command):
        if command["version"] <= rank.newest_version or rank.armed is not None:
            return False
        rank.newest_version = command["version"]
        rank.prepared = (command["version"], command["map"])
        return True

    def arm(self, rank, command):
        if rank.prepared is None or rank.prepared[0] != command["version"] \
                or command["step"] <= self.step:
            return False
        rank.armed = (command["version"], command["step"])
        return True

    def disarm(self, rank, command):
        if command["version"] == rank.version:
            return False
        if rank.armed is not None and rank.armed[0] == command["version"]:
            rank.armed = None
        return True

    def hold(self, rank, command):
        if command["step"] <= self.step:
            return False
        rank.held = command["step"]
        return True

    def go(self, rank, command):
        if rank.held == command["step"]:
            rank.held = None
        return True
