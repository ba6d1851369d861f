"""Replicas that say in their responses that they leave, or that they want no
requests for a time, get none from the relay that was told."""

import time
import unittest

import platform_replicas as replicas
from platform_fixture import Platform, ask
from cluster import wait_until

DRAIN_S = 2
IGNORED_S = 0.5  # requests in this time after the answer don't count
MAX_LATE = 2  # requests after it
MAX_REFUSAL_S = 0.4  # for a request that cannot be served
LEAVING = [("Server-Leaving", "1")]


class RelayNoticesTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure()
        self.apps = [self.platform.add_replica("app", zone) for zone in "abc"]
        self.app = self.apps[0]
        self.relay = self.platform.start_relay()
        self.arrivals = []  # times of requests at self.app

    def answer(self, answer, then=replicas.answer_normally):
        """Handles the first request at self.app with ANSWER, later ones with
        THEN."""
        async def count(replica, request, writer):
            self.arrivals.append(time.monotonic())
            handler = answer if len(self.arrivals) == 1 else then
            return await handler(replica, request, writer)
        self.app.answer = count

    def serve_until_told(self):
        wait_until(lambda: ask(self.relay, "/check/") and self.arrivals, 5,
                   "a request at the replica")

    def serve_for(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.assertEqual(ask(self.relay, "/check/").status, 200)

    def test_replica_that_says_that_it_leaves_gets_no_more_requests(self):
        for name, answer in {
                "success": replicas.fail(200, LEAVING),
                "error": replicas.fail(500, LEAVING),
                "refusal": replicas.fail(503, [("Not-Run", "1"), *LEAVING],
                                         False)}.items():
            with self.subTest(name):
                self.setUp()  # the replica would stay out of use
                self.answer(answer)
                self.serve_until_told()
                self.serve_for(1)  # it is listed as ready all the time
                self.assertEqual(len(self.arrivals), 1)

    def test_only_the_replica_itself_can_say_that_it_leaves(self):
        for name, answer in {
                "another value": replicas.fail(200, [("Server-Leaving", "0")]),
                "no number": replicas.fail(200, [("Server-Leaving", "1x")]),
                "without proof": replicas.fail(200, LEAVING, False),
                "of another request": replicas.answer_another_request
        }.items():
            with self.subTest(name):
                self.arrivals.clear()
                self.answer(answer)
                self.serve_until_told()
                wait_until(lambda: ask(self.relay, "/check/")
                           and len(self.arrivals) > 1, DRAIN_S,
                           "another request at the replica")

    def test_replica_that_starts_again_is_used(self):
        self.answer(replicas.fail(200, LEAVING))
        self.serve_until_told()
        self.app.start_again()
        wait_until(lambda: ask(self.relay, "/check/")
                   and len(self.arrivals) > 1, DRAIN_S,
                   "a request at the new run of the replica")

    def test_replica_that_wants_nothing_for_a_time_gets_nothing(self):
        pause_s = 2.5
        self.answer(replicas.fail(503, [("Not-Run", "1"),
                                        ("Retry-After", str(pause_s))],
                                  False))
        self.serve_until_told()
        told_at = self.arrivals[0]
        self.serve_for(pause_s - 0.1)
        late = [at for at in self.arrivals
                if IGNORED_S < at - told_at < pause_s]
        self.assertLessEqual(len(late), MAX_LATE)
        wait_until(lambda: ask(self.relay, "/check/")
                   and self.arrivals[-1] - told_at >= pause_s, DRAIN_S,
                   "requests after the pause")

    def test_time_that_is_no_time_is_ignored(self):
        for value in ("-5", "soon", "", "nan", "5 s", "Sat, 05 Dec 2026"):
            with self.subTest(value):
                self.arrivals.clear()
                self.answer(replicas.fail(503, [("Not-Run", "1"),
                                                ("Retry-After", value)],
                                          False))
                self.serve_until_told()
                wait_until(lambda: ask(self.relay, "/check/")
                           and len(self.arrivals) > 1, DRAIN_S,
                           "another request at the replica")

    def test_request_that_all_replicas_put_off_is_refused_at_once(self):
        pause_s = 20
        for app in self.apps:
            app.answer = replicas.fail(503, [("Not-Run", "1"),
                                             ("Retry-After", str(pause_s))],
                                       False)
        ask(self.relay, "/check/")
        started = time.monotonic()
        reply = ask(self.relay, "/check/")
        self.assertEqual(reply.status, 503)
        self.assertLess(time.monotonic() - started, MAX_REFUSAL_S)
        self.assertAlmostEqual(float(reply.headers["Retry-After"]), pause_s,
                               delta=2)


if __name__ == "__main__":
    unittest.main()
