"""What relays and pilots read from the store takes longer on their link than
the store's time-out: they must get it all the same, and give up only what
stalls."""

import time
import unittest

from cluster import wait_until
from platform_fixture import Platform, ask, route
from tcp_proxy import TcpProxy

BYTES_PER_S = 3_500_000
NARROW_BYTES_PER_S = 300_000  # a configuration takes longer than the time-out
MORE_ROUTES = 1400  # with them a configuration has some 400 kB
VERSIONS = 12  # more than the link carries within the time-out
OUTAGE_S = 3
# After an outage the bounds of the configuration hold again once the store has
# been stable for a while.
STABLE_S = 3
APPLY_S = 2
MAPS_S = 20
NEW_KEY = "key-of-the-outage"


class SlowStoreLinkTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.config["routes"] += [
            route("more-%04d" % i, "idempotent", "app")
            for i in range(MORE_ROUTES)]
        self.platform.configure()

    def link(self, bytes_per_s):
        proxy = TcpProxy(self.platform.store.port, bytes_per_s)
        self.addCleanup(proxy.close)
        return proxy

    def start_relay(self, bytes_per_s):
        self.platform.add_replica("app")
        return self.platform.start_relay(store=self.link(bytes_per_s).url())

    def expect_new_key(self, relay):
        """Adds a key, which must be in force in time after an outage."""
        self.platform.configure(
            lambda config: config["tenants"][0]["keys"].append(NEW_KEY))
        wait_until(lambda: ask(relay, "/check/", key=NEW_KEY).status == 200,
                   STABLE_S + APPLY_S, "the key to be in force")

    def test_relay_catches_up_with_many_changes(self):
        relay = self.start_relay(BYTES_PER_S)
        self.platform.store.failure_mode = "reset"
        time.sleep(OUTAGE_S)
        for _ in range(VERSIONS):
            self.platform.configure()
        self.platform.store.failure_mode = None
        self.expect_new_key(relay)

    def test_response_that_trickles_holds_nothing_up(self):
        """A time limit for each part of a response alone would never end
        it."""
        relay = self.start_relay(BYTES_PER_S)
        self.platform.store.failure_mode = "trickle"
        time.sleep(OUTAGE_S)
        self.platform.store.failure_mode = None
        self.expect_new_key(relay)

    def test_relay_starts(self):
        relay = self.start_relay(NARROW_BYTES_PER_S)
        self.assertEqual(ask(relay, "/check/").status, 200)

    def test_leading_pilot_reads_the_rules(self):
        """Without them it plans no maps."""
        self.platform.start_group(
            store_port=self.link(NARROW_BYTES_PER_S).port)
        self.platform.wait_for_maps(1, MAPS_S)


if __name__ == "__main__":
    unittest.main()
