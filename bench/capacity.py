#!/usr/bin/env python3
"""Measure what connected peers cost an entry or agent without requests.

usage: bench/capacity.py [--seconds N]

One process of bench/peers.c simulates all peers.  Prints for several numbers
of peers: memory, share of a core, and per second the bytes of frames sent and
the calls to the store.
"""

import argparse
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import path  # noqa: E402
from cluster import BUILD, Cluster, wait_until  # noqa: E402

SETTLE_S = 3  # before the measurement starts


def total(metrics, prefix):
    """Sum of a metric over its labels."""
    return sum(v for k, v in metrics.items() if k.startswith(prefix))


def measure_program(cluster, name, admin, seconds):
    """Memory, and the rates over SECONDS, of the program NAME.

    ADMIN is the name under which its metrics are read.
    """
    program = cluster.programs[name]
    time.sleep(SETTLE_S)
    cpu = path.cpu_seconds(program)
    before = cluster.metrics(admin)
    time.sleep(seconds)
    after = cluster.metrics(admin)
    cpu = (path.cpu_seconds(program) - cpu) / seconds
    sent = (total(after, "siskin_frame_bytes_sent_total")
            - total(before, "siskin_frame_bytes_sent_total")) / seconds
    calls = (total(after, "siskin_store_calls_total")
             - total(before, "siskin_store_calls_total")) / seconds
    return path.memory_kib(program), cpu * 100, sent, calls


def print_row(role, peers, row):
    print("%-6s peers=%4d  %7d KiB  %5.2f%% of a core  %7.0f B/s of frames"
          " sent  %5.2f store calls/s" % ((role, peers) + row))


def start_peers(cluster, name, arguments):
    return cluster._start(name, [BUILD + "/bench/bench-peers"] + arguments)


def measure_entry(upstreams, seconds, rules):
    with Cluster(rules) as cluster:
        cluster.start_store()
        peers = start_peers(cluster, "peers", ["agents", "127.0.0.1:0"])
        port = peers.port(r"port=(\d+)")
        for i in range(upstreams):
            cluster.inventory.append(
                "style-%d,127.0.0.1:%d,tt-south-1,model,style,,," % (i, port))
        cluster.apply()
        cluster.start_entry("entry-1", "tt-south-1")
        cluster.wait_for_settings(["entry-1"], 1)
        print_row("entry", upstreams,
                  measure_program(cluster, "entry-1", "entry-1", seconds))


def measure_agent(entries, seconds, rules):
    with Cluster(rules) as cluster:
        cluster.start_store()
        cluster.start_upstream("style-1", "tt-south-1", "model", "style")
        cluster.apply()
        cluster.wait_for_settings(["style-1"], 1)
        address = cluster.inventory[-1].split(",")[1]
        peers = start_peers(cluster, "peers",
                            ["entries", address, str(entries)])
        wait_until(
            lambda: cluster.metrics("style-1")["siskin_agent_peers"]
            == entries, 30, "all peers to be connected")
        if peers.process.poll() is not None:
            raise AssertionError("the process of the peers has exited")
        print_row("agent", entries,
                  measure_program(cluster, "style-1-agent", "style-1",
                                  seconds))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=int, default=10)
    options = parser.parse_args()
    rules = os.path.join(path.ROOT, "build", "bench-rules.toml")
    with open(rules, "w") as stream:
        stream.write(path.RULES)
    for upstreams in (15, 60, 240, 680):
        measure_entry(upstreams, options.seconds, rules)
    for entries in (3, 12, 48, 192):
        measure_agent(entries, options.seconds, rules)


if __name__ == "__main__":
    main()
