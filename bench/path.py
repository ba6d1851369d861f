#!/usr/bin/env python3
"""Measure the cost of the path through entry and agent, with real processes.

usage: bench/path.py [--requests N] [--streams N]

Compares direct calls of a test upstream with calls through entry and agent.
Prints latencies, requests and tokens per second, the CPU time per request
of each program, and the memory for many open streams.
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

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MEASURE_S = 4  # of processor time, with all streams open
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
    """User and system time that the program has used."""
    with open("/proc/%d/stat" % program.process.pid) as stream:
        fields = stream.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_kib(program):
    """Resident memory."""
    with open("/proc/%d/status" % program.process.pid) as stream:
        for line in stream:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def run_load(port, callers, requests, tokens, report_after_ms=None):
    """Run bench-load against PORT and return its report."""
    arguments = [BUILD + "/bench/bench-load",
                 "http://127.0.0.1:%d%s" % (port, PATH), "style-app",
                 str(callers), str(requests), str(tokens)]
    if report_after_ms is not None:
        arguments.append(str(report_after_ms))
    result = subprocess.run(arguments, capture_output=True, text=True,
                            check=True)
    return json.loads(result.stdout)


def print_load(name, result, tokens):
    seconds = result["took_us"] / 1e6
    print("%-9s %6d complete of %6d  first %6.0f/%6.0f us"
          "  total %6.0f/%6.0f us  %7.0f requests/s %9.0f tokens/s" % (
              name, result["whole"], result["sent"], *result["first_us"],
              *result["total_us"], result["whole"] / seconds,
              result["whole"] * tokens / seconds))


def measure(cluster, options, callers, tokens):
    programs = ["entry-1", "style-1-agent", "style-1"]
    direct = run_load(cluster.ports["style-1"], callers,
                      options.requests, tokens)
    cpu_before = {n: cpu_seconds(cluster.programs[n]) for n in programs}
    via_entry = run_load(cluster.ports["entry-1"], callers,
                         options.requests, tokens)
    cpu_after = {n: cpu_seconds(cluster.programs[n]) for n in programs}
    print("callers=%d tokens=%d  (median/99th)" % (callers, tokens))
    print_load("direct", direct, tokens)
    print_load("via-entry", via_entry, tokens)
    for name in programs:
        spent = cpu_after[name] - cpu_before[name]
        print("  %-14s %7.1f us of CPU time per request, %6.2f us per token"
              % (name, spent / options.requests * 1e6,
                 spent / options.requests / tokens * 1e6))


def measure_streams(cluster, streams):
    names = ["entry-1", "style-1-agent"]
    cluster.control("style-1", "first_ms=10&token_ms=1000")
    idle = {n: memory_kib(cluster.programs[n]) for n in names}
    for stream_count in (streams // 4, streams // 2, streams):
        tool = subprocess.Popen(
            [BUILD + "/bench/bench-load",
             "http://127.0.0.1:%d%s" % (cluster.ports["entry-1"], PATH),
             "style-app", str(stream_count), str(stream_count), "1000",
             "60000"],
            stdout=subprocess.DEVNULL)
        wait_until(
            lambda: cluster.control("style-1")["open"] >= stream_count, 60,
            "%d open streams" % stream_count)
        cpu = {n: cpu_seconds(cluster.programs[n]) for n in names}
        time.sleep(MEASURE_S)
        for name in names:
            added_kib = memory_kib(cluster.programs[name]) - idle[name]
            used = (cpu_seconds(cluster.programs[name])
                    - cpu[name]) / MEASURE_S
            print("streams=%d %-14s %8d KiB more, %5.1f KiB per stream,"
                  " %5.1f%% of a core at one token per second each" % (
                      stream_count, name, added_kib, added_kib / stream_count,
                      used * 100))
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
