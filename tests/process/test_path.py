"""The complete path of a request: caller, entry, agent, upstream and back."""

import os
import unittest

from cluster import Cluster, wait_until

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "samples")


class PathTest(unittest.TestCase):
    def test_chat_streams_complete_response(self):
        with Cluster(SAMPLES + "/maracas/rules.toml") as cluster:
            cluster.start_store()
            for i, zone in enumerate(Cluster.ZONES):
                cluster.start_upstream(
                    "style-%d" % i, zone, "model", "style", "style-assistant")
            cluster.apply()
            cluster.start_entry("entry-1", Cluster.ZONES[0])
            cluster.wait_for_settings(["entry-1", "style-0"], 1)
            response = wait_until(
                lambda: (r := cluster.chat("entry-1")).status == 200 and r,
                10, "a response")
            self.assertTrue(response.is_complete)
            self.assertEqual(response.outcome, "ran")
            self.assertEqual(response.body.count(b"data: {"), 16)
            self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"))
            for name in ["entry-1"] + ["style-%d-agent" % i
                                       for i in range(3)]:
                self.assertEqual(cluster.programs[name].stop(), 0, name)


if __name__ == "__main__":
    unittest.main()
