"""Requests that name the version of the weights that they expect: what one
client writes must not change what the relay believes of replicas."""

import unittest

import platform_replicas as replicas
from platform_fixture import Platform, ask

NAMING_REQUESTS = 3
REQUESTS = 20  # of other clients, later
OTHER_VERSION = {"Expect-Version": "2"}


class RelayVersionsTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure()
        self.apps = [self.platform.add_replica("app", zone) for zone in "abc"]
        self.relay = self.platform.start_relay()

    def reject_and_serve_others(self, names_itself):
        for app in self.apps:
            app.answer = replicas.reject_version(names_itself)
        for _ in range(NAMING_REQUESTS):
            reply = ask(self.relay, "/check/", headers=OTHER_VERSION)
            self.assertEqual(reply.status, 503)
        for path in ("/check/", "/book/"):
            statuses = [ask(self.relay, path).status for _ in range(REQUESTS)]
            self.assertEqual(statuses, [200] * REQUESTS)
        self.assertEqual([run for run in self.platform.runs()
                          if "expect-version" in run.headers], [])

    def test_rejection_that_names_the_replica(self):
        self.reject_and_serve_others(True)

    def test_rejection_that_names_nobody(self):
        self.reject_and_serve_others(False)

    def test_another_replica_at_the_address_gets_no_more_requests(self):
        """Its rejection names it, whatever the request expects."""
        app = self.apps[0]
        app.id = "another"
        for _ in range(REQUESTS):
            reply = ask(self.relay, "/check/")
            self.assertEqual(reply.status, 200)
        self.assertEqual(app.misdirected, 1)


if __name__ == "__main__":
    unittest.main()
