"""After a restart of its upstream, an agent applies the limits of a cold start
until the upstream has warmed up."""

import os
import threading
import unittest

from cluster import BUILD, Cluster, wait_until

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "samples")
ZONE = Cluster.ZONES[0]
COLD_LIMIT = 2  # concurrent requests, cold_requests in the rules


class ColdTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(SAMPLES + "/maracas/rules.toml")
        self.addCleanup(lambda: self.cluster.__exit__(None, None, None))
        self.cluster.start_store()
        self.cluster.start_upstream(
            "style-0", ZONE, "model", "style", "style-assistant")
        self.cluster.apply()
        self.cluster.start_entry("entry-0", ZONE)
        self.cluster.wait_for_settings(["entry-0", "style-0"], 1)

    def limit(self):
        return self.cluster.metrics("style-0")["siskin_gate_limit_requests"]

    def burst(self):
        threads = [threading.Thread(target=self.cluster.chat,
                                    args=("entry-0",)) for _ in range(12)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def warm_up(self):
        def is_warm():
            self.burst()
            return self.limit() > 2 * COLD_LIMIT

        wait_until(is_warm, 60, "the limit to grow")

    def wait_for_cold_limit(self):
        wait_until(lambda: self.limit() == COLD_LIMIT, 20, "the limit to fall")

    def test_upstream_restarted_while_idle_is_cold(self):
        self.wait_for_cold_limit()
        self.warm_up()
        self.cluster.programs["style-0"].kill()
        self.wait_for_cold_limit()
        self.cluster._start("style-0", [
            BUILD + "/tests/standin-upstream",
            "127.0.0.1:%d" % self.cluster.ports["style-0"], "style-0"])
        wait_until(lambda: self.cluster.metrics("style-0")[
            "siskin_upstream_restarts_total"] == 1, 20, "the new incarnation")
        self.assertEqual(self.limit(), COLD_LIMIT)
        self.warm_up()

    def test_new_incarnation_or_reported_cold_start_is_cold(self):
        self.warm_up()
        self.cluster.control("style-0", "incarnation=7")
        self.wait_for_cold_limit()
        self.warm_up()
        self.cluster.control("style-0", "says_cold=1")
        self.wait_for_cold_limit()
        for _ in range(5):
            self.burst()
        self.assertEqual(self.limit(), COLD_LIMIT)


if __name__ == "__main__":
    unittest.main()
