"""Real pilots beside a stand-in group: in each step all ranks have one map,
and the group never stands still for long, whatever becomes of pilots."""

import re
import signal
import time
import unittest

from cluster import wait_until
from platform_fixture import Platform, ask

RANKS = 3
SWITCH_S = 15  # for some maps, on a loaded machine
REPORT_AGE_MS = 1500
STAND_S = 2.0  # clients leave silent streams then


class PilotsTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure()
        self.pilots = self.platform.start_group(RANKS)
        self.group = self.platform.group
        self.wait_for_maps(2)

    def tearDown(self):
        self.assertEqual(self.group.mixed, 0)

    def wait_for_maps(self, more):
        wanted = len(self.group.versions) + more
        try:
            wait_until(lambda: len(self.group.versions) >= wanted, SWITCH_S,
                       "%d more maps" % more)
        except AssertionError as error:
            raise AssertionError("%s; %s" % (
                error, self.group.describe())) from None

    def leading(self):
        return [pilot for pilot in self.pilots
                if pilot.process.poll() is None
                and self.platform.metric(pilot, "siskin_leading") == 1]

    def leader(self):
        wait_until(lambda: len(self.leading()) == 1, SWITCH_S, "one leader")
        return self.leading()[0]

    def new_leader(self, old):
        others = [pilot for pilot in self.pilots if pilot is not old]
        return next((pilot for pilot in others
                     if "event=leading " in pilot.text()
                     and self.platform.metric(pilot, "siskin_leading") == 1),
                    None)

    def forget_stands(self):
        self.group.longest_stand = 0.0

    def assert_no_long_stand(self):
        self.assertLess(max(self.group.longest_stand,
                            self.group.stands_for()), STAND_S)

    def test_one_pilot_leads_and_maps_follow_what_is_liked(self):
        self.leader()
        self.wait_for_maps(3)
        self.assertEqual(self.group.versions, sorted(self.group.versions))
        self.assert_no_long_stand()

    def test_frozen_leader_is_followed_and_does_no_harm_when_it_wakes(self):
        for _ in range(2):
            old = self.leader()
            self.forget_stands()
            old.signal(signal.SIGSTOP)
            wait_until(lambda: self.new_leader(old), 10, "another leader")
            time.sleep(0.5)
            old.signal(signal.SIGCONT)
            self.wait_for_maps(2)
            self.assert_no_long_stand()
            self.assertIsNot(self.leader(), old)

    def test_leader_killed_while_the_group_is_held(self):
        old = self.leader()
        self.forget_stands()
        wait_until(lambda: any(rank.held for rank in self.group.ranks),
                   SWITCH_S, "the group to be held")
        old.kill()
        number = self.pilots.index(old)
        wait_until(lambda: self.new_leader(old), 10, "another leader")
        self.pilots[number] = self.platform.start_pilot(number)
        self.wait_for_maps(2)
        self.assert_no_long_stand()

    def test_lost_orders_that_are_carried_out_late(self):
        self.forget_stands()
        self.group.lose = 0.4
        time.sleep(5)
        self.group.lose = 0.0
        self.wait_for_maps(2)
        self.assert_no_long_stand()

    def test_hold_that_is_carried_out_after_its_switch(self):
        self.leader()
        for rank in self.group.ranks:
            self.wait_for_maps(1)
            self.forget_stands()
            rank.held = self.group.step + 1
            time.sleep(STAND_S)
            self.assert_no_long_stand()

    def test_store_away_stops_no_leader(self):
        self.forget_stands()
        self.platform.store.failure_mode = "silent"
        time.sleep(4)
        self.assert_no_long_stand()
        self.platform.store.failure_mode = None
        self.wait_for_maps(2)
        self.leader()

    def test_all_pilots_killed_and_back(self):
        self.forget_stands()
        for pilot in self.pilots:
            pilot.kill()
        time.sleep(0.5)
        self.pilots = [self.platform.start_pilot(i) for i in range(RANKS)]
        self.wait_for_maps(2)

    def test_planned_stop_of_the_leader_hands_over(self):
        for _ in range(2):
            old = self.leader()
            self.forget_stands()
            self.assertEqual(old.stop(), 0)
            number = self.pilots.index(old)
            self.pilots[number] = self.platform.start_pilot(number)
            self.wait_for_maps(2)
            self.assert_no_long_stand()

    def test_relay_hears_of_every_rank(self):
        relay = self.platform.start_relay()
        wait_until(lambda: self.platform.metric(relay, "siskin_feed_pilots")
                   == RANKS, 5, "all pilots")

        def known_age():
            ask(relay, "/look/x", method="POST", body=b"p")
            return re.search(r"event=sent .*report_age_ms=(\d+)",
                             relay.text())
        age = wait_until(known_age, 5, "a choice by a report")
        self.assertLess(int(age.group(1)), REPORT_AGE_MS)


if __name__ == "__main__":
    unittest.main()
