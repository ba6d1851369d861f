"""A graceful stop interrupts no request."""

import signal
import time
import unittest

from cluster import wait_until
from failures import BOOKINGS, ENTRIES, STYLES, ZONES, FailureTest


TOKEN_MS = 100  # 16 tokens take longer than the notice before a stop
WORK_MS = 1500


class StopTest(FailureTest):
    def setUp(self):
        super().setUp()
        for name in STYLES:
            self.cluster.control(name, "token_ms=%d" % TOKEN_MS)
        for name in BOOKINGS:
            self.cluster.control(name, "work_ms=%d" % WORK_MS)

    def wait_for_request(self, name):
        """Waits until an upstream behind the program processes a request."""
        upstream = name.removesuffix("-agent")
        names = STYLES + BOOKINGS if name in ENTRIES else [upstream]
        wait_until(lambda: any(self.cluster.control(n)["open"] > 0
                               for n in names), 20,
                   "a request through " + name)

    def check_stop(self, name, restart):
        with self.chats(count=8) as chats, self.bookings() as bookings:
            chats.wait_for(8)
            bookings.wait_for(4)
            self.wait_for_request(name)
            self.assertEqual(self.cluster.programs[name].stop(), 0)
            restart()
            chats.wait_for(8)
            bookings.wait_for(4)
        self.check_responses(chats, bookings)
        self.check_none_interrupted(chats, bookings)
        return chats, bookings

    def test_entry_stops(self):
        self.check_stop(ENTRIES[0], lambda: None)

    def test_agent_of_a_model_engine_stops(self):
        chats, _ = self.check_stop(
            STYLES[1] + "-agent",
            lambda: self.cluster.restart_agent(STYLES[1], ZONES[1]))
        self.assertEqual(len(chats.complete()), len(chats.results))

    def test_agent_that_is_suspended_while_it_stops(self):
        """The suspension interrupts the agent's wait for its requests, which
        must not be taken for the end of the time that it has for them."""
        agent = self.cluster.programs[STYLES[1] + "-agent"]
        with self.chats(count=8) as chats, self.bookings() as bookings:
            chats.wait_for(8)
            bookings.wait_for(4)
            self.wait_for_request(STYLES[1] + "-agent")
            agent.signal(signal.SIGTERM)
            wait_until(lambda: "event=stopping" in agent.text(), 5, "the stop")
            agent.signal(signal.SIGSTOP)
            time.sleep(0.1)
            agent.signal(signal.SIGCONT)
            self.assertEqual(agent.process.wait(30), 0)
            self.assertNotIn("event=stop-aborted", agent.text())
            self.cluster.restart_agent(STYLES[1], ZONES[1])
            chats.wait_for(8)
            bookings.wait_for(4)
        self.check_responses(chats, bookings)
        self.check_none_interrupted(chats, bookings)

    def test_agent_of_a_plain_service_stops(self):
        _, bookings = self.check_stop(
            BOOKINGS[1] + "-agent",
            lambda: self.cluster.restart_agent(BOOKINGS[1], ZONES[1]))
        self.assertEqual(len(bookings.complete()), len(bookings.results))


if __name__ == "__main__":
    unittest.main()
