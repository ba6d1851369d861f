"""A zone that is taken out, or an upstream that drains, gets no new requests
after MAX_CHANGE_S."""

import unittest

from cluster import wait_until
from failures import BOOKINGS, STYLES, ZONES, FailureTest


class ZoneTest(FailureTest):
    def test_zone_is_taken_out_and_back_in(self):
        leaving = [STYLES[1], BOOKINGS[1]]
        with self.chats() as chats, self.bookings() as bookings:
            chats.wait_for(20)
            bookings.wait_for(20)
            started = self.change("zone", "out", ZONES[1])
            self.check_no_new_requests(leaving, started)
            count = self.received(leaving)
            self.change("zone", "in", ZONES[1])
            wait_until(lambda: self.received(leaving) > count, 20,
                       "new requests")
        self.check_responses(chats, bookings)
        self.assertEqual(len(chats.complete()), len(chats.results))
        self.assertEqual(len(bookings.complete()), len(bookings.results))

    def test_upstream_drains(self):
        with self.chats() as chats, self.bookings() as bookings:
            chats.wait_for(20)
            bookings.wait_for(20)
            self.change("drain", STYLES[0])
            started = self.change("drain", BOOKINGS[2])
            self.check_no_new_requests([STYLES[0], BOOKINGS[2]], started)
        self.check_responses(chats, bookings)
        self.assertEqual(len(chats.complete()), len(chats.results))
        self.assertEqual(len(bookings.complete()), len(bookings.results))


if __name__ == "__main__":
    unittest.main()
