"""Measure how a settings change spreads when only some processes watch it.

Usage: SISKIN_BUILD=build python3 bench/settings_spread.py [AGENTS [ENTRIES]]
Prints the time until every process has applied a change, and the calls to the
store and the bytes of frames that a change and an idle second cost.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(
    os.path.dirname(__file__), "..", "tests", "process"))
from cluster import Cluster, wait_until  # noqa: E402

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "samples")
IDLE_S = 20
SETTLE_S = 5  # before the measurement starts
CHANGES = 10
NO_UPSTREAM_PORT = 1  # nothing listens there: the agents have no upstream


def start(cluster, agents, entries):
    """Start all processes and return the names under which they report."""
    cluster.inventory[0] += ",admin"
    for i in range(agents):
        name = "style-%03d" % i
        cluster.ports[name] = NO_UPSTREAM_PORT
        zone = Cluster.ZONES[i % len(Cluster.ZONES)]
        port = cluster.start_agent(name, zone)
        cluster.inventory.append(
            "%s,127.0.0.1:%d,%s,model,style,style-assistant,,," % (
                name, port, zone))
    for i in range(entries):
        name = "entry-%03d" % i
        zone = Cluster.ZONES[i % len(Cluster.ZONES)]
        cluster.start_entry(name, zone)
        cluster.inventory.append("%s,127.0.0.1:%d,%s,entry,,,,,127.0.0.1:%d" % (
            name, cluster.ports[name], zone, cluster.ports[name + "-admin"]))
    cluster.apply()
    return [n[:-len("-admin")] for n in cluster.ports if n.endswith("-admin")]


def frame_bytes(cluster, names):
    return sum(cluster.metrics(n)["siskin_frame_bytes_sent_total"]
               for n in names)


def measure_idle(cluster, names):
    before = cluster.control("store")
    sent = frame_bytes(cluster, names)
    since = time.monotonic()
    time.sleep(IDLE_S)
    elapsed = time.monotonic() - since
    after = cluster.control("store")
    print("idle: %.1f reads/s, %d watches open, %.0f B/s of frames per process"
          % ((after["reads"] - before["reads"]) / elapsed, after["watching"],
             (frame_bytes(cluster, names) - sent) / elapsed / len(names)))
    ages = [cluster.health(n)["confirmed_age_ms"] for n in names]
    print("idle: settings confirmed at most %d ms ago" % max(ages))


def measure_change(cluster, names, revision):
    """Take a zone out or in; return seconds, reads and bytes of frames."""
    reads = cluster.control("store")["reads"]
    sent = frame_bytes(cluster, names)
    zone = Cluster.ZONES[0]
    state = "out" if revision % 2 == 0 else "in"
    assert cluster.ctl("--no-wait", "zone", state, zone).returncode == 0
    since = time.monotonic()
    for name in names:
        wait_until(lambda: cluster.health(name)["revision"] >= revision,
                   30, name)
    elapsed = time.monotonic() - since
    return (elapsed, cluster.control("store")["reads"] - reads,
            frame_bytes(cluster, names) - sent)


def main():
    agents = int(sys.argv[1]) if len(sys.argv) > 1 else 30
    entries = int(sys.argv[2]) if len(sys.argv) > 2 else 12
    with Cluster(SAMPLES + "/maracas/rules.toml") as cluster:
        cluster.start_store()
        names = start(cluster, agents, entries)
        cluster.wait_for_settings(names, 1)
        time.sleep(SETTLE_S)
        print("%d agents, %d entries" % (agents, entries))
        measure_idle(cluster, names)
        runs = [measure_change(cluster, names, 2 + i) for i in range(CHANGES)]
        for what, index in (("s until all applied it", 0), ("reads", 1),
                            ("bytes of frames", 2)):
            values = sorted(r[index] for r in runs)
            print("change: %s: median %.4g, max %.4g" % (
                what, values[len(values) // 2], values[-1]))


if __name__ == "__main__":
    main()
