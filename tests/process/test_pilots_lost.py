"""Real pilots beside a simulated group whose engines leave many orders
unanswered: switches of the map end, and the group hardly stands."""

import time
import unittest

from pilots_case import PilotsCase

LOSS_RATIO = 0.5
LOSS_S = 8
MAX_HELD_S = 0.5  # in all


class LostOrdersTest(PilotsCase):
    RANKS = 16

    def test_lost_orders_stop_no_group(self):
        self.group.held_s = 0.0
        self.group.loss_ratio = LOSS_RATIO
        time.sleep(LOSS_S)
        self.group.loss_ratio = 0.0
        held_s = self.group.held_s
        self.wait_for_maps(2)
        self.assertEqual(self.group.mixed_steps, 0)
        self.assertLess(held_s, MAX_HELD_S)
        self.assertEqual([line for pilot in self.pilots
                          for line in pilot.text().splitlines()
                          if "event=map-given-up" in line], [])


if __name__ == "__main__":
    unittest.main()
