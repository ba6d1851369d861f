"""What the failure tests have in common: a small site under load."""

import os
import time
import unittest

from callers import Callers
from cluster import Cluster, wait_until

RULES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                     "samples", "maracas", "rules.toml")
BOUND_S = 5  # from a change's acceptance to the last new work
WATCH_S = 2  # how long no new work is watched for
CTL_TIMEOUT_S = 60
REPEAT_TIMEOUT_S = 60
CTL_OK, CTL_INCOMPLETE = 0, 6
ZONES = Cluster.ZONES
ENTRIES = ["entry-0", "entry-1"]
STYLES = ["style-%d" % i for i in range(3)]
BOOKINGS = ["booking-%d" % i for i in range(3)]
UPSTREAMS = STYLES + BOOKINGS


class FailureTest(unittest.TestCase):
    """Two entries and six upstreams in three zones."""

    entry_stores = {}  # a way to the store for each name that has its own
    agent_stores = {}
    relays = {}  # between the entries and an agent

    def setUp(self):
        self.cluster = Cluster(RULES)
        self.addCleanup(lambda: self.cluster.__exit__(None, None, None))
        self.cluster.start_store()
        self.prepare()
        for i, zone in enumerate(ZONES):
            self.start_upstream(STYLES[i], zone, "model", "style",
                                "style-assistant")
            self.start_upstream(BOOKINGS[i], zone, "plain", "booking")
        self.cluster.apply()
        for name, zone in zip(ENTRIES, ZONES):
            self.cluster.start_entry(name, zone, self.entry_stores.get(name))
        self.cluster.wait_for_settings(ENTRIES + UPSTREAMS, 1)
        self.cluster.wait_for_links(ENTRIES, UPSTREAMS)

    def prepare(self):
        """Called once the store runs."""

    def start_upstream(self, name, *arguments):
        self.cluster.start_upstream(
            name, *arguments, store=self.agent_stores.get(name),
            relay=self.relays.get(name))

    def chats(self, entries=ENTRIES, **options):
        return Callers(self.cluster, entries, **options)

    def bookings(self, entries=ENTRIES, **options):
        return Callers(self.cluster, entries, path="/bookings", **options)

    def change(self, *arguments):
        """Has siskinctl make a change and returns when it began, which is
        before the change is accepted.  It may end without having heard of
        all processes, since some are paused or cut off."""
        started = time.monotonic()
        process = self.cluster.start_ctl(*arguments)
        self.addCleanup(lambda: self.assertIn(
            process.wait(CTL_TIMEOUT_S), (CTL_OK, CTL_INCOMPLETE)))
        return started

    def received(self, upstreams):
        return sum(self.cluster.control(n)["received"] for n in upstreams)

    def check_no_new_work(self, upstreams, started):
        """The last new work at UPSTREAMS came within the bound."""
        while time.monotonic() < started + BOUND_S:
            time.sleep(0.05)
        count = self.received(upstreams)
        time.sleep(WATCH_S)
        self.assertEqual(self.received(upstreams), count,
                         "new work after %d s" % BOUND_S)

    def check_truth(self, *callers):
        """No answer misled its caller, and nothing ran that should not."""
        for each in callers:
            self.assertEqual(describe(each.misleading()), [])
            self.assertEqual(describe(each.untrue(UPSTREAMS)), [])
            self.assertEqual(describe(each.twice(UPSTREAMS)), [])

    def check_repeats(self, bookings, entry):
        """Whoever has no answer asks again under the same key: nothing runs
        a second time.  What was answered is answered the same again."""
        for result in bookings.results:
            answer = wait_until(
                lambda: (a := self.cluster.book(entry, result.key, result.tag))
                .outcome != "not-run" and a, REPEAT_TIMEOUT_S,
                "a word on " + result.key)
            if bookings.is_whole(result):
                self.assertEqual(answer.body, result.answer.body)
        self.assertEqual(describe(bookings.twice(UPSTREAMS)), [])

    def check_none_cut_off(self, *callers):
        for each in callers:
            self.assertEqual(describe(each.cut_off()), [])


def describe(results):
    return ["%s %s" % (r.tag, r.answer and (
        r.answer.status, r.answer.outcome, r.answer.refusal, r.answer.is_whole,
        len(r.answer.body))) for r in results]
