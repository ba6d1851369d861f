"""Stand-in for a lock-step group of the platform's engines.  It keeps the
account that judges the pilots: which maps steps were made with."""

import asyncio
import json
import random
import time

SETS = 2
EXPERTS = 12
STEP_S = 0.02


def first_map(ranks):
    return [[[e for e in range(EXPERTS) if e % ranks == rank]
             for rank in range(ranks)] for _ in range(SETS)]


class Rank:
    def __init__(self, number, experts):
        self.number = number
        self.version = 0
        self.experts = experts  # by set
        self.prepared = None  # (version, experts)
        self.armed = None  # (version, step)
        self.held = None  # the step that must not begin
        self.fence = 0
        self.newest = 0  # version it has had
        self.counts = [0] * (SETS * EXPERTS)


class Group:
    def __init__(self, replicas):
        self.replicas = replicas
        self.epoch = 1
        self.step = 0
        self.pace = 1.0
        self.mixed = 0  # steps made with different maps
        self.versions = []  # in use, in order
        self.stood_since = time.monotonic()
        self.longest_stand = 0.0
        self.lose = 0.0  # share of orders without an answer, carried out late
        self.random = random.Random(1)
        plan = first_map(len(replicas))
        self.ranks = [Rank(i, [plan[s][i] for s in range(SETS)])
                      for i in range(len(replicas))]
        for replica in replicas:
            replica.group = self

    async def run(self):
        while True:
            await asyncio.sleep(STEP_S)
            self.begin_step()

    def begin_step(self):
        """All ranks begin the next step, unless one of them is held."""
        if any(rank.held == self.step + 1 for rank in self.ranks):
            return
        now = time.monotonic()
        self.longest_stand = max(self.longest_stand, now - self.stood_since)
        self.stood_since = now
        self.step += 1
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                rank.version, rank.experts = rank.prepared
                rank.armed = rank.prepared = None
            self.pick(rank)
        versions = {rank.version for rank in self.ranks}
        self.mixed += len(versions) > 1
        if len(versions) == 1 and versions != set(self.versions[-1:]):
            self.versions += versions

    def pick(self, rank):
        """What is liked changes every few seconds."""
        liked = int(self.step * STEP_S / 2) % EXPERTS
        for layer in range(SETS):
            for expert in range(EXPERTS):
                rank.counts[layer * EXPERTS + expert] += \
                    40 if expert in (liked, (liked + 5) % EXPERTS) else 2

    def stands_for(self):
        return time.monotonic() - self.stood_since

    def describe(self):
        return "step %d, stands for %.1f s, %s" % (
            self.step, self.stands_for(), [vars(rank) | {"counts": None}
                                           for rank in self.ranks])

    # Calls.

    def call(self, replica, request):
        rank = self.ranks[self.replicas.index(replica)]
        if request.path == "/api/report":
            return 200, self.report(replica, rank)
        if request.path == "/api/picked":
            return 200, self.picked(rank, "lists" in request.query)
        order = json.loads(request.body)
        if self.random.random() >= self.lose:
            return self.act(rank, order)
        asyncio.get_running_loop().call_later(
            self.random.uniform(0.1, 1.5), self.act, rank, order)
        return None, None

    def report(self, replica, rank):
        return {"service": replica.service, "id": replica.id,
                "group": {"name": "g", "epoch": self.epoch,
                          "rank": rank.number, "state": "open"},
                "size": len(self.ranks), "born": replica.born,
                "step": self.step, "map": rank.version,
                "active": 3, "queued": 0, "kv_used": 100, "kv_total": 40000,
                "pace": self.pace,
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

    def act(self, rank, order):
        if order["fence"] < rank.fence:
            return 412, {}
        rank.fence = order["fence"]
        if order["epoch"] != self.epoch:
            return 409, {}
        is_done = getattr(self, order["operation"])(rank, order)
        return (200 if is_done else 409), {}

    def prepare(self, rank, order):
        if order["version"] <= rank.newest or rank.armed is not None:
            return False
        rank.newest = order["version"]
        rank.prepared = (order["version"], [layer[rank.number]
                                            for layer in order["map"]])
        return True

    def arm(self, rank, order):
        if rank.prepared is None or rank.prepared[0] != order["version"] \
                or order["step"] <= self.step:
            return False
        rank.armed = (order["version"], order["step"])
        return True

    def disarm(self, rank, order):
        if order["version"] == rank.version:
            return False
        if rank.armed is not None and rank.armed[0] == order["version"]:
            rank.armed = None
        return True

    def hold(self, rank, order):
        if order["step"] <= self.step:
            return False
        rank.held = order["step"]
        return True

    def go(self, rank, order):
        if rank.held == order["step"]:
            rank.held = None
        return True
