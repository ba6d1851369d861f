"""A planned stop cuts off no request."""

import unittest

from failures import BOOKINGS, ENTRIES, STYLES, ZONES, FailureTest


class StopTest(FailureTest):
    def setUp(self):
        super().setUp()
        for name in STYLES:
            self.cluster.control(name, "token_ms=20")
        for name in BOOKINGS:
            self.cluster.control(name, "work_ms=100")

    def check_stop(self, name, restart):
        with self.chats(count=8) as chats, self.bookings() as bookings:
            chats.wait_for(20)
            bookings.wait_for(20)
            self.assertEqual(self.cluster.programs[name].stop(), 0)
            restart()
            chats.wait_for(30)
            bookings.wait_for(30)
        self.check_truth(chats, bookings)
        self.check_none_cut_off(chats, bookings)
        return chats, bookings

    def test_entry_stops(self):
        self.check_stop(ENTRIES[0], lambda: None)

    def test_agent_of_a_model_engine_stops(self):
        chats, _ = self.check_stop(
            STYLES[1] + "-agent",
            lambda: self.cluster.restart_agent(STYLES[1], ZONES[1]))
        self.assertEqual(len(chats.whole()), len(chats.results))

    def test_agent_of_a_plain_service_stops(self):
        _, bookings = self.check_stop(
            BOOKINGS[1] + "-agent",
            lambda: self.cluster.restart_agent(BOOKINGS[1], ZONES[1]))
        self.assertEqual(len(bookings.whole()), len(bookings.results))


if __name__ == "__main__":
    unittest.main()
