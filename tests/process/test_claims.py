"""Bookings run at most once, whichever component fails.

Before a booking runs, its agent records a claim on the idempotency key in the
store, and afterwards the outcome.
"""

import os
import signal
import threading
import time
import unittest

from cluster import Cluster, wait_until

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "samples")
ZONES = Cluster.ZONES


def key(name):
    """Returns an idempotency key with the current time."""
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
        self.wait_for_connections()

    def wait_for_connections(self):
        """Waits until each worker of both entries can reach the agent."""
        workers = 2
        wait_until(lambda: self.agent_metric("siskin_agent_peers")
                   == 2 * workers, 20, "the entries' connections")
        wait_until(lambda: all(
            self.book("entry-%d" % (i % 2), key("first-%d" % i)).status == 201
            for i in range(8)), 20, "the first bookings")

    def book(self, entry, name, deadline=None, fitting=1):
        headers = {"Idempotency_Key": name}
        if deadline:
            headers["Siskin_Deadline"] = deadline
        return self.cluster.call(
            entry, "/bookings", {"fitting": fitting}, account="salon-desk",
            **headers)

    def book_until_run(self, entry, name):
        """Retries with the same key while the outcome is "not-run"."""
        responses = []

        def attempt():
            responses.append(self.book(entry, name, deadline="3 s"))
            return responses[-1].outcome != "not-run"

        wait_until(attempt, 60, "the outcome of " + name)
        return responses[-1]

    def agent_metric(self, name):
        return self.cluster.metrics("booking-0")[name]

    def runs(self, name):
        return self.cluster.control("booking-0")["keys"].get(name, 0)

    def test_one_key_through_two_entries_runs_once(self):
        self.cluster.control("booking-0", "work_ms=300")
        name = key("twice")
        responses = []
        threads = [threading.Thread(
            target=lambda i=i: responses.append(
                self.book_until_run("entry-%d" % i, name)))
            for i in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        responses.append(self.book_until_run("entry-1", name))
        self.assertEqual([r.status for r in responses], [201] * 3)
        self.assertEqual(len({r.body for r in responses}), 1)
        self.assertEqual(self.runs(name), 1)

    def test_store_outage_during_a_booking(self):
        """Refused as not-run during the outage, run by a later retry."""
        name = key("outage")
        self.cluster.control("store", "mode=down")
        response = self.book("entry-0", name, deadline="2 s")
        self.assertEqual((response.outcome, response.refusal),
                         ("not-run", "store"))
        self.assertEqual(self.runs(name), 0)
        self.cluster.control("store", "mode=ok")
        self.assertEqual(self.book_until_run("entry-1", name).status, 201)
        self.assertEqual(self.runs(name), 1)

    def test_outcome_is_written_after_an_outage(self):
        """The store fails while the booking runs."""
        name = key("late-outcome")
        self.cluster.control("booking-0", "work_ms=1000")
        responses = []
        thread = threading.Thread(target=lambda: responses.append(
            self.book_until_run("entry-0", name)))
        thread.start()
        wait_until(lambda: self.runs(name) == 1, 20, "the booking to run")
        self.cluster.control("store", "mode=down")
        thread.join()
        self.assertEqual(responses[0].status, 201)
        self.cluster.control("store", "mode=ok")
        wait_until(lambda: self.agent_metric("siskin_claims_open") == 0, 30,
                   "the outcome to be written")
        again = self.book_until_run("entry-1", name)
        self.assertEqual((again.status, again.body),
                         (201, responses[0].body))
        self.assertEqual(self.runs(name), 1)

    def test_lost_response_of_the_store(self):
        """The claim is written, but the store's response is lost."""
        for i in range(5):
            name = key("lost-%d" % i)
            self.cluster.control("store", "mode=lose&count=1")
            self.assertEqual(self.book_until_run("entry-0", name).status, 201)
            self.assertEqual(self.runs(name), 1)

    def test_agent_killed_during_a_booking(self):
        """The outcome stays unknown, and no retry runs the booking."""
        name = key("killed")
        self.cluster.control("booking-0", "work_ms=2000")
        responses = []
        thread = threading.Thread(target=lambda: responses.append(
            self.book_until_run("entry-0", name)))
        thread.start()
        wait_until(lambda: self.runs(name) == 1, 20, "the booking to run")
        port = self.cluster.inventory[-1].split(",")[1].split(":")[1]
        self.cluster.programs["booking-0-agent"].kill()
        thread.join()
        self.assertEqual(responses[0].outcome, "unknown")
        self.cluster.start_agent("booking-0", ZONES[0], int(port))
        for i in range(4):
            response = self.book_until_run("entry-%d" % (i % 2), name)
            self.assertEqual(response.outcome, "unknown")
        self.assertEqual(self.runs(name), 1)

    def test_key_of_another_request(self):
        name = key("reused")
        self.assertEqual(self.book_until_run("entry-0", name).status, 201)
        response = self.book("entry-0", name, fitting=2)
        self.assertEqual((response.outcome, response.refusal),
                         ("not-run", "key-reused"))
        self.assertEqual(self.runs(name), 1)

    def test_paused_agent_does_not_run_late(self):
        """Paused between claim and run until the caller has given up."""
        name = key("paused")
        agent = self.cluster.programs["booking-0-agent"]
        self.cluster.control("store", "mode=slow&ms=400")
        responses = []
        thread = threading.Thread(target=lambda: responses.append(
            self.book("entry-0", name, deadline="1 s")))
        writes = self.cluster.control("store")["writes"]
        thread.start()
        wait_until(lambda: self.cluster.control("store")["writes"] > writes,
                   20, "the claim to be written")
        agent.signal(signal.SIGSTOP)
        thread.join()
        self.cluster.control("store", "mode=ok")
        agent.signal(signal.SIGCONT)
        self.assertNotEqual(responses[0].outcome, "ran")
        wait_until(lambda: self.agent_metric("siskin_claims_open") == 0, 30,
                   "the claim to be released")
        self.assertEqual(self.runs(name), 0)
        self.assertEqual(self.book_until_run("entry-1", name).status, 201)
        self.assertEqual(self.runs(name), 1)

    def test_graceful_stop_waits_for_the_outcome(self):
        """Stopped while a booking runs and the store is down."""
        name = key("stopped")
        agent = self.cluster.programs["booking-0-agent"]
        port = self.cluster.inventory[-1].split(",")[1].split(":")[1]
        self.cluster.control("booking-0", "work_ms=800")
        responses = []
        thread = threading.Thread(target=lambda: responses.append(
            self.book_until_run("entry-0", name)))
        thread.start()
        wait_until(lambda: self.runs(name) == 1, 20, "the booking to run")
        self.cluster.control("store", "mode=down")
        agent.signal(signal.SIGTERM)
        thread.join()
        self.assertEqual(responses[0].status, 201)
        time.sleep(0.5)
        self.assertIsNone(agent.process.poll())
        self.cluster.control("store", "mode=ok")
        self.assertEqual(agent.process.wait(30), 0)
        self.cluster.start_agent("booking-0", ZONES[0], int(port))
        again = self.book_until_run("entry-1", name)
        self.assertEqual((again.status, again.body), (201, responses[0].body))
        self.assertEqual(self.runs(name), 1)

    def test_key_without_a_time(self):
        response = self.book("entry-0", "no-time")
        self.assertEqual((response.outcome, response.refusal),
                         ("not-run", "invalid"))
        self.assertEqual(self.runs("no-time"), 0)

    def test_key_too_old_to_be_checked(self):
        name = "20200101T000000Z-old"
        response = self.book("entry-0", name)
        self.assertEqual((response.outcome, response.refusal),
                         ("not-run", "key-expired"))
        self.assertEqual(self.runs(name), 0)


if __name__ == "__main__":
    unittest.main()
