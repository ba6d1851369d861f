"""Processes that are killed during responses and bookings.

Callers of other processes get complete responses, and no booking runs twice
when it is retried.
"""

import time
import unittest

from failures import BOOKINGS, ENTRIES, STYLES, ZONES, FailureTest


class KillTest(FailureTest):
    def setUp(self):
        super().setUp()
        for name in STYLES:
            self.cluster.control(name, "token_ms=10")
        for name in BOOKINGS:
            self.cluster.control(name, "work_ms=100")

    def test_entry_killed(self):
        with self.chats() as chats, self.bookings() as bookings:
            chats.wait_for(20)
            bookings.wait_for(20)
            self.cluster.programs[ENTRIES[0]].kill()
            chats.wait_for(20)
            bookings.wait_for(20)
        self.check_responses(chats, bookings)
        for callers in (chats, bookings):
            self.assertEqual([r.tag for r in callers.interrupted()
                              if r.entry != ENTRIES[0]], [])
        self.check_retries(bookings, ENTRIES[1])

    def test_agents_killed(self):
        with self.chats() as chats, self.bookings() as bookings:
            chats.wait_for(20)
            bookings.wait_for(20)
            for name in (STYLES[1], BOOKINGS[1]):
                self.cluster.programs[name + "-agent"].kill()
            time.sleep(0.5)  # the entries use the other agents
            for name in (STYLES[1], BOOKINGS[1]):
                self.cluster.restart_agent(name, ZONES[1])
            chats.wait_for(40)
            bookings.wait_for(40)
        self.check_responses(chats, bookings)
        self.check_retries(bookings, ENTRIES[1])


if __name__ == "__main__":
    unittest.main()
