"""Processes that are paused for longer than every timeout and then resume.

A resumed process must not act on requests and settings that became outdated
during its pause.
"""

import signal
import time
import unittest

from failures import (BOOKINGS, ENTRIES, OBSERVATION_S, STYLES, ZONES,
                      FailureTest)

PAUSE_S = 6


class PauseTest(FailureTest):
    def signal(self, names, number):
        for name in names:
            self.cluster.programs[name].signal(number)

    def test_agents_paused_while_their_zone_is_taken_out(self):
        leaving = [STYLES[1], BOOKINGS[1]]
        agents = [name + "-agent" for name in leaving]
        with self.chats() as chats, self.bookings() as bookings:
            chats.wait_for(20)
            bookings.wait_for(20)
            self.signal(agents, signal.SIGSTOP)
            self.change("zone", "out", ZONES[1])
            time.sleep(PAUSE_S)
            count = self.received(leaving)
            self.signal(agents, signal.SIGCONT)
            chats.wait_for(20)
            bookings.wait_for(20)
            time.sleep(OBSERVATION_S)
            self.assertEqual(self.received(leaving), count)
        self.check_responses(chats, bookings)

    def test_entry_paused_while_a_zone_is_taken_out(self):
        leaving = [STYLES[1], BOOKINGS[1]]
        with self.chats() as chats, self.bookings() as bookings:
            chats.wait_for(20)
            bookings.wait_for(20)
            self.signal([ENTRIES[0]], signal.SIGSTOP)
            self.change("zone", "out", ZONES[1])
            time.sleep(PAUSE_S)
            count = self.received(leaving)
            self.signal([ENTRIES[0]], signal.SIGCONT)
            chats.wait_for(20)
            bookings.wait_for(20)
            time.sleep(OBSERVATION_S)
            self.assertEqual(self.received(leaving), count)
        self.check_responses(chats, bookings)

    def test_agent_paused_during_a_booking(self):
        """The pause outlasts the callers, who retry at another entry."""
        for name in BOOKINGS:
            self.cluster.control(name, "work_ms=200")
        with self.bookings() as bookings:
            bookings.wait_for(10)
            agents = [name + "-agent" for name in BOOKINGS]
            self.signal(agents, signal.SIGSTOP)
            time.sleep(PAUSE_S)
            self.signal(agents, signal.SIGCONT)
            bookings.wait_for(10)
        self.check_responses(bookings)
        self.check_retries(bookings, ENTRIES[1])


if __name__ == "__main__":
    unittest.main()
