"""Set-up of the tests of real pilots beside a simulated group."""

import unittest

from platform_fixture import Platform

SWITCH_TIMEOUT_S = 15  # for several switches, on a loaded machine


class PilotsCase(unittest.TestCase):
    """A platform with a group of RANKS whose map has changed twice.  No test
    may end with a step that ranks took with different maps."""

    RANKS = 3

    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure()
        self.pilots = self.platform.start_group(self.RANKS)
        self.group = self.platform.group
        self.wait_for_maps(2)

    def tearDown(self):
        self.assertEqual(self.group.mixed_steps, 0)

    def wait_for_maps(self, more):
        self.platform.wait_for_maps(more, SWITCH_TIMEOUT_S)

    def leading(self, pilots):
        """Returns those of PILOTS that run and lead."""
        return [pilot for pilot in pilots
                if pilot.process.poll() is None
                and self.platform.metric(pilot, "siskin_leading") == 1]
