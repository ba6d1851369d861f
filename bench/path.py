#!/usr/bin/env python3
"""Measure what the path through entry and agent costs, with real processes.

usage: bench/path.py [--callers N] [--requests N] [--tokens N] [--streams N]

Prints, for the stand-in upstream called directly and through entry and agent:
latency, requests and tokens a second, processor time a request in each
program, and memory with many open streams.
"""

import argparse
import json
import os
import resource
import subprocess
import sys
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))
os.environ.setdefault("SISKIN_BUILD", os.path.join(ROOT, "build"))

from cluster import BUILD, Cluster, wait_until  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")
PATH = "/v1/chat/completions"
RULES = """
[site]
name = "bench"
[[zone]]
name = "tt-south-1"
[[account]]
name = "style-app"
[[service]]
name = "style"
kind = "model"
path = "/v1/"
[limits]
default_deadline = "300 s"
[admission]
policy = "fixed"
order = "fifo"
maximum_requests = 10000
maximum_tokens = 100000000
queue_requests = 10000
"""


def cpu_seconds(program):
    with open("/proc/%d/stat" % program.process.pid) as stream:
        fields = stream.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_kib(program):
    with open("/proc/%d/status" % program.process.pid) as stream:
        for line in stream:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def load(port, callers, requests, tokens, hold_ms=None):
    arguments = [BUILD + "/bench/bench-load",
                 "http://127.0.0.1:%d%s" % (port, PATH), "style-app",
                 str(callers), str(requests), str(tokens)]
    if hold_ms is not None:
        arguments.append(str(hold_ms))
    result = subprocess.run(arguments, capture_output=True, text=True,
                            check=True)
    return json.loads(result.stdout)


def print_load(name, result, tokens):
    seconds = result["took_us"] / 1e6
    print("%-8s %6d whole of %6d  first %6.0f/%6.0f us  total %6.0f/%6.0f us"
          "  %7.0f requests/s %9.0f tokens/s" % (
              name, result["whole"], result["sent"], *result["first_us"],
              *result["total_us"], result["whole"] / seconds,
              result["whole"] * tokens / seconds))


def measure(cluster, options, callers, tokens):
    programs = ["entry-1", "style-1-agent", "style-1"]
    direct = load(cluster.ports["style-1"], callers, options.requests, tokens)
    before = {n: cpu_seconds(cluster.programs[n]) for n in programs}
    through = load(cluster.ports["entry-1"], callers, options.requests,
                   tokens)
    after = {n: cpu_seconds(cluster.programs[n]) for n in programs}
    print("callers=%d tokens=%d  (median/99th)" % (callers, tokens))
    print_load("direct", direct, tokens)
    print_load("through", through, tokens)
    for name in programs:
        spent = after[name] - before[name]
        print("  %-14s %7.1f us of processor a request, %6.2f us a token"
              % (name, spent / options.requests * 1e6,
                 spent / options.requests / tokens * 1e6))


def measure_streams(cluster, streams):
    names = ["entry-1", "style-1-agent"]
    cluster.control("style-1", "first_ms=10&token_ms=1000")
    idle = {n: memory_kib(cluster.programs[n]) for n in names}
    for part in (streams // 4, streams // 2, streams):
        tool = subprocess.Popen(
            [BUILD + "/bench/bench-load",
             "http://127.0.0.1:%d%s" % (cluster.ports["entry-1"], PATH),
             "style-app", str(part), str(part), "1000", "60000"],
            stdout=subprocess.DEVNULL)
        wait_until(
            lambda: cluster.control("style-1")["open"] >= part, 60,
            "%d open streams" % part)
        cpu = {n: cpu_seconds(cluster.programs[n]) for n in names}
        time.sleep(4)
        for name in names:
            grown = memory_kib(cluster.programs[name]) - idle[name]
            used = (cpu_seconds(cluster.programs[name]) - cpu[name]) / 4
            print("streams=%d %-14s %8d KiB more, %5.1f KiB a stream,"
                  " %5.1f%% of a core at one token a second each" % (
                      part, name, grown, grown / part, used * 100))
        tool.kill()
        tool.wait()
        wait_until(lambda: cluster.control("style-1")["open"] == 0, 60,
                   "the streams to close")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--streams", type=int, default=5000)
    options = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    rules = os.path.join(ROOT, "build", "bench-rules.toml")
    with open(rules, "w") as stream:
        stream.write(RULES)
    with Cluster(rules) as cluster:
        cluster.start_store()
        cluster.start_upstream("style-1", "tt-south-1", "model", "style")
        cluster.apply()
        cluster.start_entry("entry-1", "tt-south-1")
        cluster.wait_for_settings(["entry-1", "style-1"], 1)
        wait_until(lambda: cluster.chat("entry-1").status == 200, 10,
                   "the path")
        cluster.control("style-1", "first_ms=0&token_ms=0")
        for callers, tokens in ((1, 1), (1, 64), (32, 1), (32, 64)):
            measure(cluster, options, callers, tokens)
        measure_streams(cluster, options.streams)


if __name__ == "__main__":
    main()
