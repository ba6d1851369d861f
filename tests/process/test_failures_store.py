"""Store failures during bookings: outage, high latency, lost responses.

Chats do not depend on the store, and no booking runs twice.
"""

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
        self.check_responses(chats, bookings)
        self.assertEqual(len(chats.complete()), len(chats.results))
        self.check_retries(bookings, ENTRIES[0])

    def test_outage(self):
        self.fail("mode=down")

    def test_slow(self):
        self.fail("mode=slow&ms=700")

    def test_responses_lost_after_execution(self):
        self.fail("mode=lose&count=-1")

    def test_outage_does_not_affect_chats(self):
        """Chats need no store."""
        self.cluster.control("store", "mode=down")
        with self.chats() as chats:
            chats.wait_for(100)
        self.cluster.control("store", "mode=ok")
        self.assertEqual(len(chats.complete()), len(chats.results))
        self.assertEqual(self.cluster.runs(BOOKINGS), {})


if __name__ == "__main__":
    unittest.main()
