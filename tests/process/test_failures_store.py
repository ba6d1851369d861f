"""The store fails in every way while bookings go on."""

import unittest

from failures import BOOKINGS, ENTRIES, FailureTest


class StoreTest(FailureTest):
    def fail(self, mode):
        with self.chats() as chats, self.bookings() as bookings:
            bookings.wait_for(10)
            self.cluster.control("store", mode)
            chats.wait_for(200)
            self.cluster.control("store", "mode=ok")
            bookings.wait_for(20)
        self.check_truth(chats, bookings)
        self.assertEqual(len(chats.whole()), len(chats.results))
        self.check_repeats(bookings, ENTRIES[0])

    def test_outage(self):
        self.fail("mode=down")

    def test_slow(self):
        self.fail("mode=slow&ms=700")

    def test_answers_lost_after_the_effect(self):
        self.fail("mode=lose&count=-1")

    def test_outage_stops_no_chat(self):
        """Chats need no store; bookings wait and then run once."""
        self.cluster.control("store", "mode=down")
        with self.chats() as chats:
            chats.wait_for(100)
        self.cluster.control("store", "mode=ok")
        self.assertEqual(len(chats.whole()), len(chats.results))
        self.assertEqual(self.cluster.runs(BOOKINGS), {})


if __name__ == "__main__":
    unittest.main()
