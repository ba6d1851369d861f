"""Replicas that name a rate limit for all relays together: the sum of what the
relays send must keep to it, also after a restart, and only for as long as it
is named."""

import concurrent.futures
import itertools
import time
import unittest

import platform_replicas as replicas
from platform_fixture import Platform, ask
from cluster import wait_until

RELAYS = 8
RANKS = 3
SLOTS = 32  # far more than are used
LIMIT_PER_S = 2.0  # a quarter of a request for each relay
STABILITY_WINDOW_S = 3.0
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
INTERVAL_S = 0.02


class RelayLimitsTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure()
        self.platform.start_group(RANKS, SLOTS)
        for replica in self.platform.replicas:
            replica.answer = replicas.stream(gap_s=0.005)
        self.relays = [self.platform.start_relay("relay-%d" % i)
                       for i in range(RELAYS)]
        for relay in self.relays:
            wait_until(lambda: self.ask(relay) == 200, 10, "service")
        self.limited = self.platform.replicas[0]
        self.arrivals = []
        self.statuses = []

    def ask(self, relay):
        return ask(relay, "/look/x", method="POST", body=b"p").status

    def set_answer(self, answer):
        async def counted(replica, request, writer):
            self.arrivals.append(time.monotonic())
            return await answer(replica, request, writer)
        self.limited.answer = counted

    def play(self, seconds):
        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            end = time.monotonic() + seconds
            for relay in itertools.cycle(self.relays):
                if time.monotonic() >= end:
                    break
                pool.submit(lambda to=relay: self.statuses.append(
                    self.ask(to)))
                time.sleep(INTERVAL_S)

    def most_in_a_window(self, since):
        times = [at for at in self.arrivals if at >= since]
        return max([sum(at <= other < at + WINDOW_S for other in times)
                    for at in times], default=0)

    def test_named_limit_holds_over_all_relays(self):
        self.set_answer(replicas.name_rate_limit(LIMIT_PER_S))
        started = time.monotonic()
        self.play(STABILITY_WINDOW_S + 2 * WINDOW_S)
        most = self.most_in_a_window(started + STABILITY_WINDOW_S)
        self.assertLessEqual(most, ALLOWED)
        self.assertGreater(most, LIMIT_PER_S * WINDOW_S / 2)
        self.assertEqual(set(self.statuses), {200})

    def test_limit_ends_when_it_is_no_longer_named(self):
        self.set_answer(replicas.name_rate_limit(LIMIT_PER_S))
        self.play(3)
        self.set_answer(replicas.stream(gap_s=0.005))
        self.play(3)
        started = time.monotonic()
        self.play(WINDOW_S)
        self.assertGreater(self.most_in_a_window(started), ALLOWED)

    def test_restarted_relay_learns_the_limit(self):
        self.set_answer(replicas.name_rate_limit(0.5))
        self.play(3)
        relay = self.platform.start_relay("relay-0", first_start=False)
        wait_until(lambda: self.ask(relay) == 200, 10, "service")
        self.arrivals.clear()
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            list(pool.map(self.ask, [relay] * 40))
        self.assertLessEqual(len(self.arrivals), 2)


if __name__ == "__main__":
    unittest.main()
