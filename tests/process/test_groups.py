"""Lock-step groups with real agents. The stand-in ranks record which expert map
each of them used in a step; no fault may lead to a step with different maps."""

import os
import signal
import unittest

from cluster import BUILD, Cluster, wait_until

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "samples")
RANKS = 3
TIMEOUT_S = 60


class GroupCluster(Cluster):
    """A lock-step group and the agents beside its ranks."""

    def __init__(self, policy="incremental", interval="1 s"):
        super().__init__(SAMPLES + "/maracas/rules.toml")
        head, _, _ = self.rules.partition("[placement]")
        self.rules = head + (
            '[placement]\npolicy = "%s"\ninterval = "%s"\n'
            'minimum_gain = 0.02\n' % (policy, interval))

    def start_group(self):
        self.start_store()
        program = self._start("ranks", [
            BUILD + "/tests/standin-rank", "127.0.0.1:0", str(RANKS)])
        self.ports["ranks"] = program.port(r"port=(\d+)")
        for rank in range(RANKS):
            port = self.start_rank_agent(rank)
            self.inventory.append(
                "rank-%d,127.0.0.1:%d,%s,model,style,style-assistant,"
                "style-a,%d" % (rank, port, self.ZONES[rank], rank))
        self.apply()

    def start_rank_agent(self, rank, port=0):
        name = "rank-%d" % rank
        config = self._write(name + ".toml", (
            'name = "%s"\nzone = "%s"\nlisten = "127.0.0.1:%d"\n'
            'upstream = "http://127.0.0.1:%d/%d"\nstore = ["%s"]\n'
            'engine = "%s"\n') % (
                name, self.ZONES[rank], port, self.ports["ranks"], rank,
                self.store_url(), "fenced" if rank == 0 else "unfenced"))
        agent = self._start(name + "-agent", [
            BUILD + "/agent/siskin-agent", "--config", config])
        self.ports[name + "-admin"] = agent.port(r"admin-listening port=(\d+)")
        self.ports[name] = agent.port(r"frames-listening port=(\d+)")
        return self.ports[name]

    def restart_rank_agent(self, rank):
        self.programs["rank-%d-agent" % rank].kill()
        self.start_rank_agent(rank, self.ports["rank-%d" % rank])

    def group_state(self):
        group_state = self.control("ranks")
        assert group_state["mixed"] == 0, group_state
        return group_state

    def wait_for_steps(self, count=50):
        step = self.group_state()["step"]
        wait_until(lambda: self.group_state()["step"] >= step + count, TIMEOUT_S,
                   "the group to execute steps")

    def wait_for_versions(self, count):
        """Wait until the group has executed steps with COUNT map versions."""
        return wait_until(
            lambda: len(v := self.group_state()["versions"]) >= count and v,
            TIMEOUT_S, "%d map versions" % count)

    def wait_for_phase(self, phase):
        wait_until(lambda: phase in self.group_state()["phases"], TIMEOUT_S,
                   "a rank to be " + phase)

    def wait_for_steady(self):
        wait_until(lambda: set(self.group_state()["phases"]) == {"steady"},
                   TIMEOUT_S, "all ranks to be steady")

    def leader(self, ranks=range(RANKS)):
        for rank in ranks:
            if self.metrics("rank-%d" % rank)["siskin_group_leading"]:
                return rank
        return None

    def wait_for_leader(self, ranks=range(RANKS)):
        return wait_until(
            lambda: (rank := self.leader(ranks)) is not None and [rank],
            TIMEOUT_S, "a leader")[0]

    def stall_switch(self):
        """Wait until a rank is armed, and drop all commits so that the switch
        cannot end."""
        self.control("ranks", "drop_commits=1&slow=1")
        self.wait_for_phase("armed")

    def finish_switch(self):
        self.control("ranks", "drop_commits=0")
        self.wait_for_steps()
        self.wait_for_steady()

    def store_mode(self, mode):
        self.control("store", "mode=" + mode)


class GroupTest(unittest.TestCase):
    def test_group_starts_and_changes_its_map(self):
        with GroupCluster() as cluster:
            cluster.start_group()
            versions = cluster.wait_for_versions(2)
            self.assertEqual(versions, sorted(versions))
            cluster.wait_for_steps()
            leader = cluster.leader()
            log = cluster.programs["rank-%d-agent" % leader].text()
            self.assertIn("reason=", log)
            self.assertIn("event=switch-committed", log)

    def test_coordinator_killed_during_switch(self):
        with GroupCluster() as cluster:
            cluster.start_group()
            cluster.wait_for_versions(1)
            cluster.stall_switch()
            first = cluster.wait_for_leader()
            cluster.restart_rank_agent(first)
            cluster.finish_switch()

    def test_rank_restarts_without_state(self):
        with GroupCluster() as cluster:
            cluster.start_group()
            cluster.wait_for_versions(2)
            cluster.control("ranks", "restart=1")
            cluster.restart_rank_agent(1)
            cluster.wait_for_steps()
            cluster.control("ranks", "restart=2")
            cluster.wait_for_steps()

    def test_engine_responses_are_lost(self):
        with GroupCluster() as cluster:
            cluster.start_group()
            cluster.wait_for_versions(1)
            cluster.control("ranks", "lose=6")
            cluster.wait_for_versions(2)
            cluster.wait_for_steps()

    def test_store_down_during_switch(self):
        with GroupCluster() as cluster:
            cluster.start_group()
            cluster.wait_for_versions(1)
            cluster.stall_switch()
            cluster.store_mode("down")
            cluster.restart_rank_agent(
                (cluster.wait_for_leader() + 1) % RANKS)
            cluster.finish_switch()
            cluster.wait_for_versions(2)

    def test_paused_coordinator_is_deposed(self):
        with GroupCluster() as cluster:
            cluster.start_group()
            cluster.wait_for_versions(1)
            first = cluster.wait_for_leader()
            others = [rank for rank in range(RANKS) if rank != first]
            agent = cluster.programs["rank-%d-agent" % first]
            cluster.stall_switch()
            agent.signal(signal.SIGSTOP)
            cluster.wait_for_leader(others)
            agent.signal(signal.SIGCONT)
            wait_until(lambda: cluster.leader([first]) is None, TIMEOUT_S,
                       "the paused coordinator to stop leading")
            cluster.finish_switch()


if __name__ == "__main__":
    unittest.main()
