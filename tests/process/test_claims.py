"""Bookings run at most once, whatever fails on the way."""

import os
import threading
import time
import unittest

from cluster import Cluster, wait_until

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "samples")
ZONES = Cluster.ZONES


def key(name):
    """An idempotency key issued now."""
    return time.strftime("%Y%m%dT%H%M%SZ-", time.gmtime()) + name


class ClaimsTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(SAMPLES + "/maracas/rules.toml")
        self.addCleanup(lambda: self.cluster.__exit__(None, None, None))
        self.cluster.start_store()
        self.cluster.start_upstream("booking-0", ZONES[0], "plain", "booking")
        self.cluster.apply()
        for i in range(2):
            self.cluster.start_entry("entry-%d" % i, ZONES[i])
        self.cluster.wait_for_settings(
            ["entry-0", "entry-1", "booking-0"], 1)
        wait_until(lambda: all(
            self.book("entry-%d" % i, key("first-%d" % i)).status == 201
            for i in range(2)), 20, "the first bookings")

    def book(self, entry, name, deadline=None, fitting=1):
        headers = {"Idempotency_Key": name}
        if deadline:
            headers["Siskin_Deadline"] = deadline
        return self.cluster.call(
            entry, "/bookings", {"fitting": fitting}, account="salon-desk",
            **headers)

    def book_until_run(self, entry, name):
        """A caller who repeats under the same key while told "not run"."""
        answers = []

        def attempt():
            answers.append(self.book(entry, name))
            return answers[-1].outcome != "not-run"

        wait_until(attempt, 30, "an answer to " + name)
        return answers[-1]

    def runs(self, name):
        return self.cluster.control("booking-0")["keys"].get(name, 0)

    def test_one_key_through_two_entries_runs_once(self):
        self.cluster.control("booking-0", "work_ms=300")
        name = key("twice")
        answers = []
        threads = [threading.Thread(
            target=lambda i=i: answers.append(
                self.book_until_run("entry-%d" % i, name)))
            for i in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        answers.append(self.book_until_run("entry-1", name))
        self.assertEqual([a.status for a in answers], [201] * 3)
        self.assertEqual(len({a.body for a in answers}), 1)
        self.assertEqual(self.runs(name), 1)


if __name__ == "__main__":
    unittest.main()
