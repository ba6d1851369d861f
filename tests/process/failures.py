"""The fixture that the failure tests share: a small site under load."""

import os
import time
import unittest

from callers import Callers
from cluster import Cluster, wait_until

RULES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                     "samples", "maracas", "rules.toml")
MAX_CHANGE_S = 5  # from accepting a change to the last new request
OBSERVATION_S = 2  # without new requests after MAX_CHANGE_S
CTL_TIMEOUT_S = 60
RETRY_TIMEOUT_S = 60
CTL_OK, CTL_INCOMPLETE = 0, 6
ZONES = Cluster.ZONES
ENTRIES = ["entry-0", "entry-1"]
STYLES = ["style-%d" % i for i in range(3)]
BOOKINGS = ["booking-%d" % i for i in range(3)]
UPSTREAMS = STYLES + BOOKINGS


class FailureTest(unittest.TestCase):
    """Two entries and six upstreams in three zones."""

    entry_store_urls = {}  # of entries that do not use the store directly
    agent_store_urls = {}
    agent_proxies = {}  # functions that start a proxy to an agent

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
            self.cluster.start_entry(name, zone,
                                     self.entry_store_urls.get(name))
        self.cluster.wait_for_settings(ENTRIES + UPSTREAMS, 1)
        self.cluster.wait_for_links(ENTRIES, UPSTREAMS)

    def prepare(self):
        """Called after the store has started."""

    def start_upstream(self, name, *arguments):
        self.cluster.start_upstream(
            name, *arguments, store=self.agent_store_urls.get(name),
            proxy=self.agent_proxies.get(name))

    def chats(self, entries=ENTRIES, **options):
        return Callers(self.cluster, entries, **options)

    def bookings(self, entries=ENTRIES, **options):
        return Callers(self.cluster, entries, path="/bookings", **options)

    def change(self, *arguments):
        """Starts a change by siskinctl; returns the time before it.

        siskinctl may exit before all processes have confirmed the change,
        as some are paused or disconnected."""
        started = time.monotonic()
        process = self.cluster.start_ctl(*arguments)
        self.addCleanup(lambda: self.assertIn(
            process.wait(CTL_TIMEOUT_S), (CTL_OK, CTL_INCOMPLETE)))
        return started

    def received(self, upstreams):
        return sum(self.cluster.control(n)["received"] for n in upstreams)

    def check_no_new_requests(self, upstreams, started):
        """Checks that UPSTREAMS get no request after MAX_CHANGE_S."""
        while time.monotonic() < started + MAX_CHANGE_S:
            time.sleep(0.05)
        count = self.received(upstreams)
        time.sleep(OBSERVATION_S)
        self.assertEqual(self.received(upstreams), count,
                         "new requests after %d s" % MAX_CHANGE_S)

    def check_responses(self, *callers):
        """Checks that no response was wrong and that nothing ran twice or
        although it was refused."""
        for each in callers:
            self.assertEqual(describe(each.corrupted()), [])
            self.assertEqual(describe(each.wrongly_refused(UPSTREAMS)), [])
            self.assertEqual(describe(each.duplicated(UPSTREAMS)), [])

    def check_retries(self, bookings, entry):
        """Retries each booking with its key: none runs a second time, and
        those with a complete response get the same one again."""
        for result in bookings.results:
            response = wait_until(
                lambda: (r := self.cluster.book(entry, result.key, result.tag))
                .outcome != "not-run" and r, RETRY_TIMEOUT_S,
                "the outcome of " + result.key)
            if bookings.is_complete(result):
                self.assertEqual(response.body, result.response.body)
        self.assertEqual(describe(bookings.duplicated(UPSTREAMS)), [])

    def check_none_interrupted(self, *callers):
        for each in callers:
            self.assertEqual(describe(each.interrupted()), [])


def describe(results):
    return ["%s %s" % (r.tag, r.response and (
        r.response.status, r.response.outcome, r.response.refusal,
        r.response.is_complete, len(r.response.body))) for r in results]
