"""Bookings run at most once, whatever fails on the way."""

import os
import signal
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
        self.wait_for_connections()

    def wait_for_connections(self):
        """Every worker of both entries has its connection to the agent."""
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
        """A caller who repeats under the same key while told "not run"."""
        answers = []

        def attempt():
            answers.append(self.book(entry, name, deadline="3 s"))
            return answers[-1].outcome != "not-run"

        wait_until(attempt, 60, "an answer to " + name)
        return answers[-1]

    def agent_metric(self, name):
        return self.cluster.metrics("booking-0")[name]

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

    def test_store_outage_during_a_booking(self):
        """Refused as not run while the store is down, then run on repeat."""
        name = key("outage")
        self.cluster.control("store", "mode=down")
        answer = self.book("entry-0", name, deadline="2 s")
        self.assertEqual((answer.outcome, answer.refusal),
                         ("not-run", "store"))
        self.assertEqual(self.runs(name), 0)
        self.cluster.control("store", "mode=ok")
        self.assertEqual(self.book_until_run("entry-1", name).status, 201)
        self.assertEqual(self.runs(name), 1)

    def test_outcome_is_written_after_an_outage(self):
        """The store goes down while the booking runs."""
        name = key("late-outcome")
        self.cluster.control("booking-0", "work_ms=1000")
        answers = []
        thread = threading.Thread(target=lambda: answers.append(
            self.book_until_run("entry-0", name)))
        thread.start()
        wait_until(lambda: self.runs(name) == 1, 20, "the booking to run")
        self.cluster.control("store", "mode=down")
        thread.join()
        self.assertEqual(answers[0].status, 201)
        self.cluster.control("store", "mode=ok")
        wait_until(lambda: self.agent_metric("siskin_claims_open") == 0, 30,
                   "the outcome to be written")
        again = self.book_until_run("entry-1", name)
        self.assertEqual((again.status, again.body),
                         (201, answers[0].body))
        self.assertEqual(self.runs(name), 1)

    def test_lost_answer_of_the_store(self):
        """The claim is written, the store's answer to it is lost."""
        for i in range(5):
            name = key("lost-%d" % i)
            self.cluster.control("store", "mode=lose&count=1")
            self.assertEqual(self.book_until_run("entry-0", name).status, 201)
            self.assertEqual(self.runs(name), 1)

    def test_agent_killed_in_mid_booking(self):
        """Unknown from then on, never a second run."""
        name = key("killed")
        self.cluster.control("booking-0", "work_ms=2000")
        answers = []
        thread = threading.Thread(target=lambda: answers.append(
            self.book_until_run("entry-0", name)))
        thread.start()
        wait_until(lambda: self.runs(name) == 1, 20, "the booking to run")
        port = self.cluster.inventory[-1].split(",")[1].split(":")[1]
        self.cluster.programs["booking-0-agent"].kill()
        thread.join()
        self.assertEqual(answers[0].outcome, "unknown")
        self.cluster.start_agent("booking-0", ZONES[0], int(port))
        for i in range(4):
            answer = self.book_until_run("entry-%d" % (i % 2), name)
            self.assertEqual(answer.outcome, "unknown")
        self.assertEqual(self.runs(name), 1)

    def test_key_of_another_request(self):
        name = key("reused")
        self.assertEqual(self.book_until_run("entry-0", name).status, 201)
        answer = self.book("entry-0", name, fitting=2)
        self.assertEqual((answer.outcome, answer.refusal),
                         ("not-run", "key-reused"))
        self.assertEqual(self.runs(name), 1)

    def test_paused_agent_does_not_run_late(self):
        """Paused between the claim and the run until the caller has left."""
        name = key("paused")
        agent = self.cluster.programs["booking-0-agent"]
        self.cluster.control("store", "mode=slow&ms=400")
        answers = []
        thread = threading.Thread(target=lambda: answers.append(
            self.book("entry-0", name, deadline="1 s")))
        writes = self.cluster.control("store")["writes"]
        thread.start()
        wait_until(lambda: self.cluster.control("store")["writes"] > writes,
                   20, "the claim to be written")
        agent.signal(signal.SIGSTOP)
        thread.join()
        self.cluster.control("store", "mode=ok")
        agent.signal(signal.SIGCONT)
        self.assertNotEqual(answers[0].outcome, "ran")
        wait_until(lambda: self.agent_metric("siskin_claims_open") == 0, 30,
                   "the claim to be given back")
        self.assertEqual(self.runs(name), 0)
        self.assertEqual(self.book_until_run("entry-1", name).status, 201)
        self.assertEqual(self.runs(name), 1)

    def test_planned_stop_waits_for_the_outcome(self):
        """Told to stop while a booking runs and the store is down."""
        name = key("stopped")
        agent = self.cluster.programs["booking-0-agent"]
        port = self.cluster.inventory[-1].split(",")[1].split(":")[1]
        self.cluster.control("booking-0", "work_ms=800")
        answers = []
        thread = threading.Thread(target=lambda: answers.append(
            self.book_until_run("entry-0", name)))
        thread.start()
        wait_until(lambda: self.runs(name) == 1, 20, "the booking to run")
        self.cluster.control("store", "mode=down")
        agent.signal(signal.SIGTERM)
        thread.join()
        self.assertEqual(answers[0].status, 201)
        time.sleep(0.5)
        self.assertIsNone(agent.process.poll())
        self.cluster.control("store", "mode=ok")
        self.assertEqual(agent.process.wait(30), 0)
        self.cluster.start_agent("booking-0", ZONES[0], int(port))
        again = self.book_until_run("entry-1", name)
        self.assertEqual((again.status, again.body), (201, answers[0].body))
        self.assertEqual(self.runs(name), 1)

    def test_key_without_its_time(self):
        answer = self.book("entry-0", "no-time")
        self.assertEqual((answer.outcome, answer.refusal),
                         ("not-run", "invalid"))
        self.assertEqual(self.runs("no-time"), 0)

    def test_key_too_old_to_be_checked(self):
        name = "20200101T000000Z-old"
        answer = self.book("entry-0", name)
        self.assertEqual((answer.outcome, answer.refusal),
                         ("not-run", "key-expired"))
        self.assertEqual(self.runs(name), 0)


if __name__ == "__main__":
    unittest.main()
