"""Settings reach every process and never revert to an older revision.

Processes get them from the store or, without access to it, from their peers.
"""

import os
import signal
import time
import unittest

from cluster import BUILD, Cluster, wait_until

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "samples")
NO_STORE = "http://127.0.0.1:1"
AGENTS = ["style-%d" % i for i in range(3)]
MAX_APPLY_S = 5
DISCONNECTED_S = 3


class SettingsTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(SAMPLES + "/maracas/rules.toml")
        self.addCleanup(self.cluster.__exit__, None, None, None)
        self.cluster.start_store()

    def start_agents(self, without_store=()):
        for i, name in enumerate(AGENTS):
            if name in without_store:
                self.start_without_store(self.cluster.start_upstream, name,
                                         Cluster.ZONES[i], "model", "style",
                                         "style-assistant")
            else:
                self.cluster.start_upstream(
                    name, Cluster.ZONES[i], "model", "style",
                    "style-assistant")

    def start_without_store(self, start, *arguments):
        port, self.cluster.ports["store"] = self.cluster.ports["store"], 1
        try:
            start(*arguments)
        finally:
            self.cluster.ports["store"] = port

    def start_entry_with_peers(self, name, peers, store):
        config = self.cluster._write(name + ".toml", (
            'name = "%s"\nzone = "%s"\nstore = ["%s"]\npeers = [%s]\n') % (
                name, Cluster.ZONES[0], store,
                ", ".join('"127.0.0.1:%d"' % p for p in peers)))
        entry = self.cluster._start(
            name, [BUILD + "/entry/siskin-entry", "--config", config])
        self.cluster.ports[name + "-admin"] = entry.port(
            r"admin-listening port=(\d+)")
        self.cluster.ports[name] = entry.port(r"http-listening port=(\d+)")

    def frame_port(self, name):
        row = [r for r in self.cluster.inventory if r.startswith(name)][0]
        return int(row.split(",")[1].split(":")[1])

    def change(self, *arguments):
        result = self.cluster.ctl("--no-wait", *arguments)
        self.assertEqual(result.returncode, 0, result.stderr)
        return time.monotonic()

    def wait_until_applied(self, names, revision, started):
        self.cluster.wait_for_settings(names, revision)
        self.assertLess(time.monotonic() - started, MAX_APPLY_S)

    def test_process_without_store_gets_settings_from_peers(self):
        self.start_agents(without_store=["style-1"])
        self.cluster.apply()
        self.cluster.start_entry("entry-1", Cluster.ZONES[0])
        self.cluster.wait_for_settings(AGENTS + ["entry-1"], 1)
        started = self.change("zone", "out", "tt-south-2")
        self.wait_until_applied(AGENTS + ["entry-1"], 2, started)
        wait_until(lambda: self.cluster.health("style-1")
                   ["confirmed_age_ms"] < 4000, 20, "a confirmation")

    def test_paused_process_does_not_delay_a_change(self):
        self.start_agents()
        self.cluster.apply()
        for i in range(2):
            self.cluster.start_entry("entry-%d" % i, Cluster.ZONES[i])
        names = AGENTS + ["entry-1"]
        self.cluster.wait_for_settings(names + ["entry-0"], 1)
        paused = self.cluster.programs["entry-0"]
        paused.signal(signal.SIGSTOP)
        started = self.change("zone", "out", "tt-south-2")
        self.wait_until_applied(names, 2, started)
        paused.signal(signal.SIGCONT)
        self.wait_until_applied(["entry-0"], 2, time.monotonic())

    def frames_sent(self, name):
        return self.cluster.metrics(name)["siskin_frames_sent_total"]

    def test_resumed_process_does_not_trust_buffered_frames(self):
        """Frames that waited in its sockets during a pause are old and must
        not count as a recent confirmation of its settings."""
        self.start_agents()
        self.cluster.apply()
        self.start_entry_with_peers(
            "entry-1", [self.frame_port("style-0")], NO_STORE)
        self.cluster.wait_for_settings(["entry-1"], 1)
        wait_until(lambda: self.cluster.health("entry-1")
                   ["confirmed_age_ms"] < 4000, 20, "a confirmation")
        paused = self.cluster.programs["entry-1"]
        paused.signal(signal.SIGSTOP)
        sent = {name: self.frames_sent(name) for name in AGENTS}
        for name in AGENTS:
            wait_until(lambda: self.frames_sent(name) > sent[name], 10,
                       "frames")
        for name in AGENTS:
            self.cluster.programs[name + "-agent"].kill()
        time.sleep(DISCONNECTED_S)
        paused.signal(signal.SIGCONT)
        wait_until(lambda: all(
            "agent-link-closed upstream=" + name in paused.text()
            for name in AGENTS), 10, "the connections to close")
        self.assertGreaterEqual(
            self.cluster.health("entry-1")["confirmed_age_ms"],
            DISCONNECTED_S * 1000)

    def test_start_while_the_store_is_down(self):
        self.start_agents()
        self.cluster.apply()
        self.change("zone", "out", "tt-south-1")
        self.cluster.wait_for_settings(AGENTS, 2)
        self.cluster.control("store", "mode=down")
        self.start_entry_with_peers(
            "entry-1", [1] + [self.frame_port(n) for n in AGENTS],
            self.cluster.store_url())
        self.cluster.wait_for_settings(["entry-1"], 2)
        self.assertNotIn("previous=1", self.cluster.programs[
            "entry-1"].text())
        response = wait_until(
            lambda: (r := self.cluster.chat("entry-1")).status == 200 and r,
            10, "a response")
        self.assertTrue(response.is_complete)

    # The store is restored from a backup with older settings.
    def test_restored_backup_is_not_adopted(self):
        self.start_agents()
        self.cluster.apply()
        self.change("zone", "out", "tt-south-2")
        self.cluster.wait_for_settings(AGENTS, 2)
        for key in ["settings", "revision"]:
            self.cluster.control("store", "forget=/siskinspur/" + key)
        for name in AGENTS:
            wait_until(lambda: self.cluster.metrics(name)[
                "siskin_settings_store_behind_total"] > 0, 10, "the report")
            self.assertEqual(self.cluster.health(name)["revision"], 2)
        status = self.cluster.ctl("status")
        self.assertEqual(status.returncode, 6)
        self.assertIn("put back to an older state", status.stderr)
        self.assertEqual(self.cluster.ctl("restore").returncode, 0)
        self.assertIn("revision 2 by", self.cluster.ctl("show").stdout)
        self.assertEqual(self.cluster.ctl("status").returncode, 0)
        self.change("zone", "in", "tt-south-2")
        self.cluster.wait_for_settings(AGENTS, 3)

    def test_restore_that_cannot_be_read_back_is_unknown(self):
        """The store is restored and then stops answering: siskinctl must not
        say that nothing was changed."""
        self.start_agents()
        self.cluster.apply()
        self.change("zone", "out", "tt-south-2")
        self.cluster.wait_for_settings(AGENTS, 2)
        for key in ["settings", "revision"]:
            self.cluster.control("store", "forget=/siskinspur/" + key)
        self.cluster.control("store", "mode=lose&after_writes=1&reads=1")
        result = self.cluster.ctl("restore")
        self.assertNotIn("nothing was changed", result.stderr)
        self.assertIn("revision 2", result.stderr)
        self.assertEqual(result.returncode, 4)
        self.cluster.control("store", "mode=ok")
        self.assertIn("revision 2 by", self.cluster.ctl("show").stdout)

    def test_only_entries_watch_the_store(self):
        """Agents get changes from the entries, and poll the store when the
        entries are silent."""
        entries = ["entry-%d" % i for i in range(4)]
        agents = ["style-%02d" % i for i in range(30)]
        for i, name in enumerate(agents):
            zone = Cluster.ZONES[i % 3]
            self.cluster.ports[name] = 1  # no upstream listens
            port = self.cluster.start_agent(name, zone)
            self.cluster.inventory.append(
                "%s,127.0.0.1:%d,%s,model,style,style-assistant,," % (
                    name, port, zone))
        for i, name in enumerate(entries):
            self.cluster.start_entry(name, Cluster.ZONES[i % 3])
            self.cluster.inventory.append("%s,127.0.0.1:%d,%s,entry,,,," % (
                name, self.cluster.ports[name], Cluster.ZONES[i % 3]))
        self.cluster.apply()
        self.cluster.wait_for_settings(agents + entries, 1)
        wait_until(lambda: self.cluster.control("store")["watching"]
                   == len(entries), 20, "only the entries to watch")
        started = self.change("zone", "out", "tt-south-2")
        self.wait_until_applied(agents + entries, 2, started)
        for name in entries:
            self.cluster.programs[name].signal(signal.SIGSTOP)
        self.change("zone", "in", "tt-south-2")
        self.cluster.wait_for_settings(agents, 3)

    def test_small_site_watches_and_polls_cheaply(self):
        self.start_agents()
        self.cluster.apply()
        self.cluster.wait_for_settings(AGENTS, 1)
        wait_until(lambda: self.cluster.control("store")["watching"] == 3,
                   10, "three watches")
        before = self.cluster.control("store")
        started = time.monotonic()
        wait_until(lambda: self.cluster.control("store")["reads"]
                   >= before["reads"] + 9, 20, "some polls")
        after = self.cluster.control("store")
        self.assertGreaterEqual(time.monotonic() - started, 2)
        self.assertEqual(after["watches"], before["watches"])
        self.assertEqual(after["writes"], before["writes"])


if __name__ == "__main__":
    unittest.main()
