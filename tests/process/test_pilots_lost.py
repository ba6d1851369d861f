"""Real pilots beside a simulated group whose engines leave many orders
unanswered: switches of the map end, and the group hardly stands."""

import time
import unittest

from platform_fixture import Platform

RANKS = 16
SWITCH_TIMEOUT_S = 15  # for several switches, on a loaded machine
LOSS_RATIO = 0.5
LOSS_S = 8
MAX_HELD_S = 0.5  # in all


class LostOrdersTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure()
        self.pilots = self.platform.start_group(RANKS)
        self.group = self.platform.group
        self.platform.wait_for_maps(2, SWITCH_TIMEOUT_S)

    def test_lost_orders_stop_no_group(self):
        self.group.held_s = 0.0
        self.group.loss_ratio = LOSS_RATIO
        time.sleep(LOSS_S)
        self.group.loss_ratio = 0.0
        held_s = self.group.held_s
        self.platform.wait_for_maps(2, SWITCH_TIMEOUT_S)
        self.assertEqual(self.group.mixed_steps, 0)
        self.assertLess(held_s, MAX_HELD_S)
        self.assertEqual([line for pilot in self.pilots
                          for line in pilot.text().splitlines()
                          if "event=map-given-up" in line], [])


if __name__ == "__main__":
    unittest.main()
