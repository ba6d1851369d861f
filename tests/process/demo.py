"""Demonstrates the complete system on loopback; prints a line for each step.

Exits with a non-zero status at the first step that fails.
"""

import http.client
import json
import os
import signal
import sys
import threading
import time

from callers import Callers, new_key
from cluster import Cluster, wait_until

RULES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                     "samples", "maracas", "rules.toml")
MAX_CHANGE_S = 5  # from accepting a change to the last new request
OBSERVATION_S = 2  # without new requests after MAX_CHANGE_S
ENTRIES = ["entry-1", "entry-2"]
STYLES = ["style-%d" % i for i in range(3)]
BOOKINGS = ["booking-%d" % i for i in range(3)]
ZONE = Cluster.ZONES[1]
ZONE_UPSTREAMS = [STYLES[1], BOOKINGS[1]]


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def say(step, text):
    print("%-8s %s" % (step, text), flush=True)


def start(cluster):
    cluster.start_store()
    for i, zone in enumerate(Cluster.ZONES):
        cluster.start_upstream(STYLES[i], zone, "model", "style",
                               "style-assistant", "style-a", str(i))
        cluster.start_upstream(BOOKINGS[i], zone, "plain", "booking")
    cluster.apply()
    for i, name in enumerate(ENTRIES):
        cluster.start_entry(name, Cluster.ZONES[i])
    cluster.wait_for_settings(ENTRIES + STYLES + BOOKINGS, 1)
    cluster.wait_for_links(ENTRIES, STYLES + BOOKINGS)
    say("start", "store, %d upstreams with an agent each in %d zones, "
        "%d entries" % (len(STYLES + BOOKINGS), len(Cluster.ZONES),
                        len(ENTRIES)))


def show_stream(cluster):
    """The first token arrives long before the last one."""
    for name in STYLES:
        cluster.control(name, "token_ms=20")
    connection = http.client.HTTPConnection(
        "127.0.0.1", cluster.ports["entry-1"], timeout=60)
    connection.request("POST", "/v1/chat/completions", json.dumps({
        "model": "style-assistant", "max_tokens": 20, "stream": True,
        "messages": [{"role": "user", "content": "an outfit"}]}),
        {"Content-Type": "application/json", "Siskin-Account": "style-app"})
    started = time.monotonic()
    response = connection.getresponse()
    check(response.status == 200, "the chat got status %d" % response.status)
    body, first = b"", None
    while part := response.read1(4096):
        first = first or time.monotonic() - started
        body += part
    total = time.monotonic() - started
    connection.close()
    check(body.count(b"data: {") == 20 and body.endswith(b"[DONE]\n\n"),
          "the chat's response is incomplete")
    check(first < total / 2, "the response was not streamed")
    for name in STYLES:
        cluster.control(name, "token_ms=2")
    say("chat", "20 tokens, the first after %d ms, the last after %d ms"
        % (first * 1000, total * 1000))


def show_booking(cluster):
    """A key sent through two entries at once runs once; both respond."""
    key = new_key()
    responses = {}

    def book(entry):
        responses[entry] = cluster.book(entry, key, "fitting")

    threads = [threading.Thread(target=book, args=(e,)) for e in ENTRIES]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    retry = cluster.book(ENTRIES[0], key, "fitting")
    bodies = {r.body for r in responses.values()} | {retry.body}
    runs = cluster.runs(BOOKINGS).get(key, 0)
    check(all(r.status == 201 for r in responses.values()),
          "responses to the bookings: %s" % {
              e: (r.status, r.outcome, r.refusal)
              for e, r in responses.items()})
    check(runs == 1, "the booking ran %d times" % runs)
    check(len(bodies) == 1, "the responses differ")
    say("booking", "one key through 2 entries at once and retried later: "
        "ran %d time, 3 equal responses" % runs)


def received(cluster):
    return sum(cluster.control(n)["received"] for n in ZONE_UPSTREAMS)


def show_zone_out(cluster, chats, bookings):
    started = time.monotonic()
    result = cluster.ctl("zone", "out", ZONE)
    check(result.returncode == 0, result.stderr)
    count = received(cluster)
    last = time.monotonic()
    while time.monotonic() < started + MAX_CHANGE_S + OBSERVATION_S:
        now = received(cluster)
        if now != count:
            count, last = now, time.monotonic()
        time.sleep(0.05)
    check(last - started <= MAX_CHANGE_S, "%s got new requests %.1f s after "
          "it was taken out" % (ZONE, last - started))
    say("zone", "%s out: all processes confirmed, and no new requests from "
        "%d ms after the start of siskinctl on, observed for %d s" % (
            ZONE, (last - started) * 1000, MAX_CHANGE_S + OBSERVATION_S))
    chats.wait_for(20)
    bookings.wait_for(20)


def show_zone_in(cluster):
    count = received(cluster)
    started = time.monotonic()
    result = cluster.ctl("zone", "in", ZONE)
    check(result.returncode == 0, result.stderr)
    wait_until(lambda: received(cluster) > count, 2 * MAX_CHANGE_S,
               "new requests in " + ZONE)
    say("zone", "%s in: new requests within %d ms" % (
        ZONE, (time.monotonic() - started) * 1000))


def show_nothing_lost(cluster, chats, bookings):
    for callers, what in ((chats, "chats"), (bookings, "bookings")):
        complete = len(callers.complete())
        check(complete == len(callers.results), "%d of %d %s were lost" % (
            len(callers.results) - complete, len(callers.results), what))
    runs = cluster.runs(BOOKINGS)
    wrong = [r.key for r in bookings.results if runs.get(r.key) != 1]
    check(not wrong, "%d bookings did not run once" % len(wrong))
    say("callers", "%d chats and %d bookings meanwhile, all responses "
        "complete, each booking ran once" % (
            len(chats.results), len(bookings.results)))


def show_stop(cluster):
    names = ENTRIES + [n + "-agent" for n in STYLES + BOOKINGS]
    statuses = {n: cluster.programs[n].stop() for n in names}
    failed = [n for n, status in statuses.items() if status != 0]
    check(not failed, "not stopped gracefully: %s" % failed)
    say("stop", "%d processes stopped gracefully" % len(names))


def main():
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(1))
    with Cluster(RULES) as cluster:
        start(cluster)
        show_stream(cluster)
        show_booking(cluster)
        with Callers(cluster, ENTRIES) as chats, \
                Callers(cluster, ENTRIES, 2, path="/bookings") as bookings:
            chats.wait_for(20)
            bookings.wait_for(20)
            show_zone_out(cluster, chats, bookings)
            show_zone_in(cluster)
        show_nothing_lost(cluster, chats, bookings)
        show_stop(cluster)


if __name__ == "__main__":
    main()
