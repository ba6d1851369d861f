"""The whole path: caller, entry, agent, upstream and back."""

import os
import unittest

from cluster import Cluster, wait_until

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "samples")


class PathTest(unittest.TestCase):
    def test_chat_streams_whole_answer(self):
        with Cluster(SAMPLES + "/maracas/rules.toml") as cluster:
            cluster.start_store()
            for i, zone in enumerate(Cluster.ZONES):
                cluster.start_upstream(
                    "style-%d" % i, zone, "model", "style", "style-assistant")
            cluster.apply()
            cluster.start_entry("entry-1", Cluster.ZONES[0])
            cluster.wait_for_settings(["entry-1", "style-0"], 1)
            answer = wait_until(
                lambda: (a := cluster.chat("entry-1")).status == 200 and a,
                10, "an answer")
            self.assertTrue(answer.is_whole)
            self.assertEqual(answer.outcome, "ran")
            self.assertEqual(answer.body.count(b"data: {"), 16)
            self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"))
            for name in ["entry-1"] + ["style-%d-agent" % i
                                       for i in range(3)]:
                self.assertEqual(cluster.programs[name].stop(), 0, name)


if __name__ == "__main__":
    unittest.main()
