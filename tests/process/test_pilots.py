"""Real pilots beside a simulated group: all ranks use the same map in each
step, and the group never stalls for long when pilots crash, freeze, restart or
lose the store."""

import re
import signal
import time
import unittest

import platform_replicas as replicas
from cluster import wait_until
from pilots_case import SWITCH_TIMEOUT_S, PilotsCase
from platform_fixture import ask

RANKS = PilotsCase.RANKS
REPORT_AGE_MS = 1500
LOST_WRITES = 400  # more than the replicas write again during a test
OLD_REPORT_S = 1.5
ARM_TIMEOUT_S = 1.0  # a switch that is not armed by then has been given up
MAX_STALL_S = 2.0  # clients abandon a stream that is silent for longer


class PilotsTest(PilotsCase):
    def leader(self):
        wait_until(lambda: len(self.leading(self.pilots)) == 1,
                   SWITCH_TIMEOUT_S, "one leader")
        return self.leading(self.pilots)[0]

    def new_leader(self, old):
        others = [pilot for pilot in self.pilots if pilot is not old]
        return next((pilot for pilot in others
                     if "event=leading " in pilot.text()
                     and self.platform.metric(pilot, "siskin_leading") == 1),
                    None)

    def reset_longest_stall(self):
        self.group.longest_stall_s = 0.0

    def assert_no_long_stall(self):
        self.assertLess(max(self.group.longest_stall_s,
                            self.group.stall_s()), MAX_STALL_S)

    def test_one_pilot_leads_and_maps_follow_popular_experts(self):
        self.leader()
        self.wait_for_maps(3)
        self.assertEqual(self.group.versions, sorted(self.group.versions))
        self.assert_no_long_stall()

    def test_frozen_leader_is_replaced_and_does_no_harm_when_resumed(self):
        for _ in range(2):
            old = self.leader()
            self.reset_longest_stall()
            old.signal(signal.SIGSTOP)
            wait_until(lambda: self.new_leader(old), 10, "another leader")
            time.sleep(0.5)
            old.signal(signal.SIGCONT)
            self.wait_for_maps(2)
            self.assert_no_long_stall()
            self.assertIsNot(self.leader(), old)

    def test_leader_killed_while_the_group_is_held(self):
        old = self.leader()
        self.reset_longest_stall()
        wait_until(lambda: any(rank.held for rank in self.group.ranks),
                   SWITCH_TIMEOUT_S, "the group to be held")
        old.kill()
        number = self.pilots.index(old)
        wait_until(lambda: self.new_leader(old), 10, "another leader")
        self.pilots[number] = self.platform.start_pilot(number)
        self.wait_for_maps(2)
        self.assert_no_long_stall()

    def test_odd_listing_of_another_writer_changes_nothing(self):
        leader = self.leader()
        odd = replicas.odd_listings(self.platform.replicas[0])
        for name, value in odd.items():
            self.platform.put("servers/i-" + name, value)
        self.wait_for_maps(3)
        self.assertIs(self.leader(), leader)
        self.assertEqual([pilot.process.poll() for pilot in self.pilots],
                         [None] * RANKS)

    def test_lost_commands_that_are_executed_late(self):
        self.reset_longest_stall()
        self.group.loss_ratio = 0.4
        time.sleep(5)
        self.group.loss_ratio = 0.0
        self.wait_for_maps(2)
        self.assert_no_long_stall()

    def test_switch_given_up_while_reports_are_old(self):
        """The pilot beside an armed rank is killed, and a switch is given up.
        What the rank then reports to the leader's machine is from before it
        was armed: a leader that takes it for current leaves it armed, and it
        alone changes its map."""
        group = self.group
        group.report_lag_s = OLD_REPORT_S
        self.platform.configure(lambda config: config["services"][0][
            "engine"].update(report_lag_ms=int(OLD_REPORT_S * 1000)))
        self.restart_all()
        self.wait_for_maps(1)
        leader = self.pilots.index(self.leader())
        # The rank after the leader's holds the group.
        silent, armed = [(leader + i) % RANKS for i in (1, 2)]
        group.unanswered[silent] = ["arm"]
        wait_until(lambda: group.ranks[armed].armed, SWITCH_TIMEOUT_S,
                   "a rank to be armed")
        group.ranks_without_pilot.add(armed)
        self.pilots[armed].kill()
        time.sleep(ARM_TIMEOUT_S)
        group.unanswered.clear()
        time.sleep(2 * OLD_REPORT_S)
        self.pilots[armed] = self.platform.start_pilot(armed)
        group.ranks_without_pilot.clear()
        self.wait_for_maps(2)

    def test_hold_that_is_executed_after_its_switch(self):
        self.leader()
        for rank in self.group.ranks:
            self.wait_for_maps(1)
            self.reset_longest_stall()
            rank.held = self.group.step + 1
            time.sleep(MAX_STALL_S)
            self.assert_no_long_stall()

    def test_leader_continues_without_store(self):
        self.reset_longest_stall()
        self.platform.store.failure_mode = "silent"
        time.sleep(4)
        self.assert_no_long_stall()
        self.platform.store.failure_mode = None
        self.wait_for_maps(2)
        self.leader()

    def test_leader_does_not_fetch_new_rules(self):
        """A large document of rules would keep a leader's link busy while the
        group is held for a switch.  It needs only the profile of the
        engines, which it has read."""
        self.leader()
        self.wait_for_maps(1)
        sent = dict(self.platform.store.sent_keys)
        for _ in range(3):
            self.platform.configure()
            time.sleep(1)
        self.wait_for_maps(1)
        self.assertEqual(self.platform.store.sent_keys["op/config"],
                         sent["op/config"])

    def test_leader_after_a_restore_of_the_store_is_obeyed(self):
        """The engines reject fences below the highest that they have seen.
        The restored store gives lower revisions to the next leaders."""
        store = self.platform.store
        saved = self.platform.run_function(store.copy)
        for number in range(LOST_WRITES):
            self.platform.put("op/other", b"%d" % number)
        self.restart_all()
        self.wait_for_maps(1)
        fence = self.group.ranks[0].fence
        self.platform.run_function(store.restore, saved)
        self.restart_all()
        self.wait_for_maps(2)
        self.assertGreater(self.group.ranks[0].fence, fence)

    def restart_all(self):
        for pilot in self.pilots:
            pilot.kill()
        time.sleep(0.5)
        self.pilots = [self.platform.start_pilot(i) for i in range(RANKS)]

    def test_all_pilots_killed_and_restarted(self):
        self.restart_all()
        self.wait_for_maps(2)

    def test_planned_stop_of_the_leader_hands_over(self):
        for _ in range(2):
            old = self.leader()
            self.reset_longest_stall()
            self.assertEqual(old.stop(), 0)
            number = self.pilots.index(old)
            self.pilots[number] = self.platform.start_pilot(number)
            self.wait_for_maps(2)
            self.assert_no_long_stall()

    def test_stopped_leader_asks_a_pilot_whose_rank_is_not_slow(self):
        old = self.leader()
        number = self.pilots.index(old)
        slow, other = (number + 1) % RANKS, (number + 2) % RANKS
        self.group.slow_ranks[slow] = 12
        wait_until(lambda: "event=rank-slow " in old.text(), 5, "a slow rank")
        self.assertEqual(old.stop(), 0)
        wait_until(lambda: self.platform.metric(self.pilots[other],
                                                "siskin_leading") == 1,
                   5, "the next leader")
        self.assertRegex(self.pilots[other].text(),
                         "event=asked-to-lead .*accepted=1")
        self.assertNotIn("event=leading ", self.pilots[slow].text())
        self.pilots[number] = self.platform.start_pilot(number)
        self.wait_for_maps(1)

    def test_relay_gets_reports_of_every_rank(self):
        relay = self.platform.start_relay()
        wait_until(lambda: self.platform.metric(relay, "siskin_feed_pilots")
                   == RANKS, 5, "all pilots")

        def report_age():
            ask(relay, "/look/x", method="POST", body=b"p")
            return re.search(r"event=sent .*report_age_ms=(\d+)",
                             relay.text())
        age = wait_until(report_age, 5, "a request routed by a report")
        self.assertLess(int(age.group(1)), REPORT_AGE_MS)


if __name__ == "__main__":
    unittest.main()
