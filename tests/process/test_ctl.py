"""siskinctl: findings, conflicts, lost responses, outages and zones."""

import base64
import json
import os
import unittest

from cluster import Cluster, wait_until

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "samples")
OK, ERROR, CONFLICT, UNAVAILABLE, UNKNOWN, REFUSED, INCOMPLETE = range(7)
USAGE = 64


class CtlTest(unittest.TestCase):
    def start_cluster(self, site="maracas"):
        cluster = Cluster(SAMPLES + "/" + site + "/rules.toml")
        self.addCleanup(cluster.__exit__, None, None, None)
        cluster.start_store()
        with open(SAMPLES + "/" + site + "/inventory.csv") as stream:
            cluster.inventory = stream.read().splitlines()
        return cluster

    def write_files(self, cluster, rules=None, suffix=""):
        return (cluster._write("rules%s.toml" % suffix,
                               rules or cluster.rules),
                cluster._write("inventory%s.csv" % suffix,
                               "\n".join(cluster.inventory) + "\n"))

    def run_json(self, cluster, *arguments, expect=OK):
        result = cluster.ctl("--json", *arguments)
        self.assertEqual(result.returncode, expect, result)
        value = json.loads(result.stdout)
        self.assertEqual(value["exit"], expect)
        return value

    def test_samples_are_valid(self):
        for site in ["maracas", "blue-mahoe"]:
            cluster = self.start_cluster(site)
            self.run_json(cluster, "check", *self.write_files(cluster))

    def test_findings_leave_settings_unchanged(self):
        cluster = self.start_cluster()
        cluster.apply()
        invalid = cluster.rules.replace('pick = "by-key"', 'pick = "dice"')
        invalid = invalid.replace("cold_requests = 2", "cold_requests = 99")
        files = self.write_files(cluster, invalid)
        lines = invalid.splitlines()
        places = [(lines.index('pick = "dice"') + 1, 8),
                  (lines.index("cold_requests = 99") + 1, 17)]
        result = cluster.ctl("apply", *files, "1")
        self.assertEqual(result.returncode, ERROR)
        for place in places:
            self.assertIn("rules.toml:%d:%d: " % place, result.stderr)
        value = self.run_json(cluster, "check", *files, expect=ERROR)
        self.assertEqual(
            {(f["line"], f["column"]) for f in value["findings"]},
            set(places))
        self.assertEqual(self.run_json(cluster, "show")["revision"], 1)

    def test_conflict_reports_the_competing_change(self):
        cluster = self.start_cluster()
        cluster.apply()
        files = self.write_files(cluster)
        winning_files = self.write_files(cluster, cluster.rules.replace(
            "share = 20", "share = 21", 1), "-won")
        self.run_json(cluster, "--who", "ann", "--why", "carnival", "apply",
                      *winning_files, "1")
        conflict = self.run_json(cluster, "apply", *files, "1",
                                 expect=CONFLICT)
        self.assertEqual(conflict["in_force"]["who"], "ann")
        self.assertEqual(conflict["in_force"]["why"], "carnival")
        self.assertEqual(
            [(d["added"], d["text"]) for d in conflict["differences"]],
            [(False, "share = 21"), (True, "share = 20")])
        history = self.run_json(cluster, "history")["history"]
        self.assertEqual([h["revision"] for h in history], [2, 1])
        self.assertEqual(history[0]["what"], "rules +1 -1")
        diff = self.run_json(cluster, "diff", "1")["differences"]
        self.assertEqual(len(diff), 2)
        self.assertEqual(self.run_json(cluster, "show", "1")["changed_why"],
                         "test")
        self.run_json(cluster, "diff", "1", "9", expect=ERROR)

    def test_lost_response_is_resolved(self):
        cluster = self.start_cluster()
        cluster.apply()
        cluster.control("store", "mode=lose&count=5")
        self.run_json(cluster, "--no-wait", "zone", "out", "tt-south-1")
        self.assertEqual(cluster.control("store")["lost"], 5)
        history = self.run_json(cluster, "history")["history"]
        self.assertEqual([h["revision"] for h in history], [2, 1])
        self.assertEqual(history[0]["what"], "zone tt-south-1 is out")
        self.assertEqual(
            self.run_json(cluster, "resolve", history[0]["change_id"],
                          "2")["change"]["revision"], 2)
        self.run_json(cluster, "resolve", "0123", "2", expect=CONFLICT)
        self.run_json(cluster, "resolve", "0123", "3", expect=UNKNOWN)

    def test_outcome_without_any_response_is_unknown(self):
        """The compare-and-swap takes effect; all responses to it are lost."""
        cluster = self.start_cluster()
        cluster.apply()
        cluster.control("store", "mode=lose&after_writes=1")
        value = self.run_json(cluster, "--no-wait", "zone", "out",
                              "tt-south-1", expect=UNKNOWN)
        cluster.control("store", "mode=ok")
        command_line = ["resolve", value["change_id"], str(value["revision"])]
        self.assertIn("siskinctl " + " ".join(command_line), value["error"])
        self.run_json(cluster, *command_line)
        self.assertEqual(self.run_json(cluster, "show")["zones_out"],
                         ["tt-south-1"])

    def test_outage_leaves_settings_unchanged(self):
        cluster = self.start_cluster()
        cluster.apply()
        cluster.programs["store"].kill()
        value = self.run_json(cluster, "zone", "out", "tt-south-1",
                              expect=UNAVAILABLE)
        self.assertIn("nothing was changed", value["error"])

    def test_settings_deleted_while_a_change_is_confirmed(self):
        """Another program deletes the settings after the change was written
        and before siskinctl reads them to ask the processes."""
        cluster = self.start_cluster()
        cluster.apply()
        writes = cluster.control("store")["writes"]
        cluster.control("store", "mode=slow&ms=1000")
        ctl = cluster.start_ctl("drain", "style-01")
        # The document is archived, then the change is written.
        wait_until(lambda: cluster.control("store")["writes"] == writes + 2,
                   20, "the change to be written")
        key = base64.b64encode(b"/siskinspur/settings").decode()
        cluster.raw("POST", cluster.ports["store"], "/v3/kv/txn", json.dumps(
            {"success": [{"request_delete_range": {"key": key}}]}))
        self.assertEqual(ctl.wait(30), INCOMPLETE)

    def test_concurrent_marks_are_all_kept(self):
        cluster = self.start_cluster()
        cluster.apply()
        names = ["style-%02d" % i for i in range(1, 9)]
        running = [cluster.start_ctl("--no-wait", "drain", n) for n in names]
        self.assertEqual([p.wait(60) for p in running], [OK] * len(names))
        value = self.run_json(cluster, "show")
        self.assertEqual(sorted(value["draining"]), names)
        self.assertEqual(value["revision"], 1 + len(names))
        value = self.run_json(cluster, "--no-wait", "drain", names[0])
        self.assertFalse(value["changed"])
        value = self.run_json(cluster, "--no-wait", "undrain", names[0])
        self.assertTrue(value["changed"])
        self.run_json(cluster, "drain", "nobody", expect=ERROR)

    def test_taking_out_the_last_zone_requires_force(self):
        cluster = self.start_cluster()
        cluster.apply()
        for zone in ["tt-south-1", "tt-south-2"]:
            self.run_json(cluster, "--no-wait", "zone", "out", zone)
        value = self.run_json(cluster, "--no-wait", "zone", "out",
                              "tt-south-3", expect=REFUSED)
        self.assertIn("without any upstream", value["error"])
        self.run_json(cluster, "--no-wait", "--force", "zone", "out",
                      "tt-south-3")

    def test_zone_change_reports_unconfirmed_processes(self):
        cluster = Cluster(SAMPLES + "/maracas/rules.toml")
        self.addCleanup(cluster.__exit__, None, None, None)
        cluster.start_store()
        for i, zone in enumerate(Cluster.ZONES):
            cluster.start_upstream("style-%d" % i, zone, "model", "style",
                                   "style-assistant")
        cluster.apply()
        cluster.wait_for_settings(["style-%d" % i for i in range(3)], 1)
        value = self.run_json(cluster, "zone", "out", "tt-south-1")
        self.assertEqual((value["confirmed"], value["asked"]), (3, 3))
        status = self.run_json(cluster, "status")
        self.assertEqual({p["found_revision"] for p in status["processes"]},
                         {2})
        cluster.programs["style-2-agent"].kill()
        value = self.run_json(cluster, "zone", "in", "tt-south-1",
                              expect=INCOMPLETE)
        self.assertEqual([p["name"] for p in value["unconfirmed"]],
                         ["style-2"])
        self.run_json(cluster, "status", expect=INCOMPLETE)

    def test_document_too_large_for_the_store(self):
        cluster = self.start_cluster()
        files = self.write_files(cluster, cluster.rules + "#" * 1000000)
        value = self.run_json(cluster, "apply", *files, "0", expect=ERROR)
        self.assertRegex(value["error"],
                         "has 10[0-9]+ bytes; the store accepts at most")

    def test_old_documents_are_deleted(self):
        cluster = self.start_cluster()
        cluster.apply()
        for i in range(101):
            for command in ["drain", "undrain"]:
                self.run_json(cluster, "--no-wait", command, "style-01")
        self.assertEqual(self.run_json(cluster, "show")["revision"], 203)
        self.run_json(cluster, "show", "2", expect=ERROR)
        self.assertEqual(self.run_json(cluster, "show", "3")["revision"], 3)
        self.assertEqual(
            self.run_json(cluster, "history",
                          "300")["history"][-1]["revision"], 1)

    def test_store_url_option(self):
        cluster = self.start_cluster()
        cluster.apply()
        url, cluster.store_url = cluster.store_url(), lambda: (
            "http://127.0.0.1:1")
        self.assertEqual(self.run_json(cluster, "--store", url, "show")
                         ["revision"], 1)

    def test_wrong_usage(self):
        cluster = self.start_cluster()
        for arguments in [["apply", "a", "b", "-1"], ["apply", "a"],
                          ["history", "0"], ["zone", "off", "x"], ["nothing"],
                          ["--why", "", "zone", "in", "x"]]:
            self.assertEqual(cluster.ctl(*arguments).returncode, USAGE)


if __name__ == "__main__":
    unittest.main()
