"""A group of model replicas with their pilots.  While a switch of the expert
map arms the ranks, some orders get no answer and are carried out seconds
later, and the pilot beside one rank is killed and started again.  No pass may
begin while two ranks have different maps."""

import asyncio
import collections
import json
import os
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))
os.environ["SISKIN_BUILD"] = os.path.join(ROOT, "target")

import platform_group
from cluster import BUILD, Program, wait_until
from platform_fixture import PILOT_SETTINGS, Platform

RANKS = 6
ROUNDS_S = 75  # time in which switches are disturbed, one after the other
ROUND_S = 6.0  # from one to the next: late orders have been carried out
REPORT_LAG_S = 0.2  # report_lag_ms of the site
LATE_S = 2.5  # a late order is carried out after this time: 2 to 12 s
# From the first arm order of a switch on: until then orders to two ranks get
# no answer; the pilot is killed; it is started again.
LATE_ONE_S = 0.60
LATE_OTHER_S = 0.70
KILL_S = 0.42
RESTART_S = 0.5  # after the kill
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Group(platform_group.Group):
    """Reports are fresh for the pilot beside the rank, and REPORT_LAG_S old
    for a caller on another machine.  While the pilot is down, each caller is
    on another machine."""

    def __init__(self, replicas, record):
        super().__init__(replicas)
        self.record = record
        self.started_at = time.monotonic()
        self.past = [collections.deque(maxlen=200) for _ in replicas]
        self.is_pilot_up = [True] * len(replicas)
        self.late_until = {}  # rank: time
        self.first_arm_at = None  # of the switch to be disturbed
        self.is_waiting_for_arm = False
        self.orders = 0
        self.late_orders = 0
        self.was_mixed = False

    def now(self):
        return time.monotonic() - self.started_at

    def note(self, text):
        self.record.append("%8.3f s  %s" % (self.now(), text))

    def call(self, replica, request):
        rank = self.ranks[self.replicas.index(replica)]
        if request.path == "/api/report":
            report = self.report(replica, rank)
            if not self.is_pilot_up[rank.number]:
                limit = time.monotonic() - REPORT_LAG_S
                old = [each for at, each in self.past[rank.number]
                       if at <= limit]
                report = old[-1] if old else report
                self.note("rank %d reports to another machine: armed=%s "
                          "held=%s (now armed=%s)" % (
                              rank.number, report["armed"], report["held"],
                              rank.armed))
            return 200, report
        if request.path == "/api/picked":
            return 200, self.picked(rank, "lists" in request.query)
        return self.order(rank, json.loads(request.body))

    def order(self, rank, command):
        text = "order to rank %d: %s fence=%s version=%s step=%s" % (
            rank.number, command["operation"], command["fence"],
            command.get("version"), command.get("step"))
        self.orders += 1
        if command["operation"] == "arm" and self.is_waiting_for_arm:
            self.is_waiting_for_arm = False
            self.first_arm_at = time.monotonic()
            self.on_first_arm()
        if time.monotonic() < self.late_until.get(rank.number, 0):
            self.late_orders += 1
            self.note(text + " -> no answer, carried out in %.1f s" % LATE_S)
            asyncio.get_running_loop().call_later(
                LATE_S, self.execute_late, rank, command, text)
            return None, None
        status, body = self.execute(rank, command)
        self.note("%s -> %d" % (text, status))
        return status, body

    def execute_late(self, rank, command, text):
        status, _ = self.execute(rank, command)
        self.note("late %s -> %d" % (text, status))

    def begin_step(self):
        mixed_before = self.mixed_steps
        super().begin_step()
        now = time.monotonic()
        for replica, rank in zip(self.replicas, self.ranks):
            self.past[rank.number].append((now, self.report(replica, rank)))
        is_mixed = self.mixed_steps > mixed_before
        if is_mixed != self.was_mixed:
            self.note("pass %d begins with maps %s%s" % (
                self.step, [rank.version for rank in self.ranks],
                " -- DIFFERENT" if is_mixed else ""))
        self.was_mixed = is_mixed


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Case(Platform):
    def start(self):
        self.record = []
        self.store.fields = lambda: []  # no header that the pages lack
        self.configure()
        self.group = Group([self.add_replica("model", "abc"[i % 3])
                            for i in range(RANKS)], self.record)
        asyncio.run_coroutine_threadsafe(self.group.run(), self.loop)
        self.ports = free_ports(RANKS)
        self.pilots = [None] * RANKS
        for rank in range(RANKS):
            self.run_pilot(rank)

    def run_pilot(self, rank):
        name = "pilot-%d" % rank
        replica = self.group.replicas[rank]
        settings = self.write_settings(name, (PILOT_SETTINGS % {
            "name": name, "zone": replica.zone, "store": self.store.port,
            "upstream": replica.address()}).replace(
                'listen = "127.0.0.1:0"',
                'listen = "127.0.0.1:%d"' % self.ports[rank]))
        program = Program(name, [BUILD + "/pilot/siskin-pilot", "--config",
                                 settings], self.folder)
        self.programs[name] = self.pilots[rank] = program
        program.admin_port = program.port(r"admin-listening port=(\d+)")
        self.group.is_pilot_up[rank] = True

    def leader(self):
        leading = [rank for rank in range(RANKS)
                   if self.metric(self.pilots[rank], "siskin_leading") == 1]
        return leading[0] if len(leading) == 1 else None

    def disturb(self):
        """Disturbs the next switch."""
        group = self.group
        leader = wait_until(lambda: self.leader() is not None
                            and (self.leader(),), 20, "one leader")[0]
        killed, silent = [(leader + i) % RANKS for i in (2, 3)]

        def on_first_arm():
            if IS_TROUBLE:
                group.late_until = {killed: group.first_arm_at + LATE_ONE_S,
                                    silent: group.first_arm_at + LATE_OTHER_S}
        group.on_first_arm = on_first_arm
        group.first_arm_at = None
        group.is_waiting_for_arm = True
        wait_until(lambda: group.first_arm_at, 20, "a switch")
        time.sleep(max(0, group.first_arm_at + KILL_S - time.monotonic()))
        if IS_TROUBLE:
            group.is_pilot_up[killed] = False
            self.pilots[killed].kill()
            group.note("pilot of rank %d killed; leader is that of rank %d"
                       % (killed, leader))
            time.sleep(RESTART_S)
            self.run_pilot(killed)
            group.note("pilot of rank %d started again" % killed)


def run(case):
    """Disturbs switches until the rule is broken or the time is over."""
    group = case.group
    wait_until(lambda: len(group.versions) >= 3, 20, "two switches")
    end = time.monotonic() + ROUNDS_S
    rounds = 0
    while time.monotonic() < end and group.mixed_steps == 0:
        started = time.monotonic()
        case.disturb()
        time.sleep(max(0, started + ROUND_S - time.monotonic()))
        rounds += 1
    return rounds


def main():
    case = Case()
    rounds = 0
    try:
        with case:
            case.start()
            rounds = run(case)
    except Exception as error:
        print("the case could not run:", repr(error))
        return 2
    group = case.group
    text = "%d switches disturbed; %d passes, %d of them with different " \
        "maps; %d switches; %d orders, %d of them late" % (
            rounds if IS_TROUBLE else 0, group.step, group.mixed_steps,
            len(group.versions) - 1, group.orders, group.late_orders)
    with open(os.path.join(HERE, "record.txt"), "w") as stream:
        stream.write("\n".join(case.record + [text]) + "\n")
    print(text)
    return 1 if group.mixed_steps > 0 else 0


if __name__ == "__main__":
    sys.exit(main())
