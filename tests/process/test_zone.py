"""A zone or an upstream that is to leave gets no new work within seconds."""

import unittest

from cluster import wait_until
from failures import BOOKINGS, STYLES, ZONES, FailureTest


class ZoneTest(FailureTest):
    def test_zone_leaves_and_returns(self):
        leaving = [STYLES[1], BOOKINGS[1]]
        with self.chats() as chats, self.bookings() as bookings:
            chats.wait_for(20)
            bookings.wait_for(20)
            started = self.change("zone", "out", ZONES[1])
            self.check_no_new_work(leaving, started)
            count = self.received(leaving)
            self.change("zone", "in", ZONES[1])
            wait_until(lambda: self.received(leaving) > count, 20, "new work")
        self.check_truth(chats, bookings)
        self.assertEqual(len(chats.whole()), len(chats.results))
        self.assertEqual(len(bookings.whole()), len(bookings.results))

    def test_upstream_drains(self):
        with self.chats() as chats, self.bookings() as bookings:
            chats.wait_for(20)
            bookings.wait_for(20)
            self.change("drain", STYLES[0])
            started = self.change("drain", BOOKINGS[2])
            self.check_no_new_work([STYLES[0], BOOKINGS[2]], started)
        self.check_truth(chats, bookings)
        self.assertEqual(len(chats.whole()), len(chats.results))
        self.assertEqual(len(bookings.whole()), len(bookings.results))


if __name__ == "__main__":
    unittest.main()
