"""Real pilots beside a simulated group whose leader freezes: the next leader
reaches the engine beside it directly, and the map goes on changing."""

import datetime
import re
import signal
import unittest

from cluster import wait_until
from pilots_case import SWITCH_TIMEOUT_S, PilotsCase

MAX_UNLED_S = 1.5  # from the next leader's start to its first plan


def logged_at(program, event):
    """Returns the time of the first EVENT in the log of PROGRAM."""
    line = next(line for line in program.text().splitlines()
                if "event=%s " % event in line)
    return datetime.datetime.fromisoformat(
        re.search(r"time=(\S+)Z", line).group(1))


class FrozenLeaderTest(PilotsCase):
    RANKS = 6

    def leader(self, pilots):
        wait_until(lambda: self.leading(pilots), SWITCH_TIMEOUT_S, "a leader")
        return self.leading(pilots)[0]

    def test_maps_change_while_the_former_leader_is_frozen(self):
        old = self.leader(self.pilots)
        self.group.ranks_without_pilot.add(self.pilots.index(old))
        self.group.report_lag_s = 0.2
        old.signal(signal.SIGSTOP)
        try:
            new = self.leader([pilot for pilot in self.pilots
                               if pilot is not old])
            self.wait_for_maps(1)
        finally:
            old.signal(signal.SIGCONT)
        unled_s = (logged_at(new, "planned")
                   - logged_at(new, "leading")).total_seconds()
        self.assertLess(unled_s, MAX_UNLED_S)
        self.assertEqual(self.group.mixed_steps, 0)


if __name__ == "__main__":
    unittest.main()
