"""siskinctl: findings, races, lost answers, outages and zones."""

import json
import os
import unittest

from cluster import Cluster

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "samples")
OK, FAULTS, CONFLICT, UNAVAILABLE, UNKNOWN, REFUSED, INCOMPLETE = range(7)
USAGE = 64


class CtlTest(unittest.TestCase):
    def start(self, site="maracas"):
        cluster = Cluster(SAMPLES + "/" + site + "/rules.toml")
        self.addCleanup(cluster.__exit__, None, None, None)
        cluster.start_store()
        with open(SAMPLES + "/" + site + "/inventory.csv") as stream:
            cluster.inventory = stream.read().splitlines()
        return cluster

    def files(self, cluster, rules=None, suffix=""):
        return (cluster._write("rules%s.toml" % suffix,
                               rules or cluster.rules),
                cluster._write("inventory%s.csv" % suffix,
                               "\n".join(cluster.inventory) + "\n"))

    def json(self, cluster, *arguments, expect=OK):
        result = cluster.ctl("--json", *arguments)
        self.assertEqual(result.returncode, expect, result)
        value = json.loads(result.stdout)
        self.assertEqual(value["exit"], expect)
        return value

    def test_samples_are_good(self):
        for site in ["maracas", "blue-mahoe"]:
            cluster = self.start(site)
            self.json(cluster, "check", *self.files(cluster))

    def test_findings_change_nothing(self):
        cluster = self.start()
        cluster.apply()
        bad = cluster.rules.replace('pick = "by-key"', 'pick = "dice"')
        bad = bad.replace("cold_requests = 2", "cold_requests = 99")
        files = self.files(cluster, bad)
        lines = bad.splitlines()
        places = [(lines.index('pick = "dice"') + 1, 8),
                  (lines.index("cold_requests = 99") + 1, 17)]
        result = cluster.ctl("apply", *files, "1")
        self.assertEqual(result.returncode, FAULTS)
        for place in places:
            self.assertIn("rules.toml:%d:%d: " % place, result.stderr)
        value = self.json(cluster, "check", *files, expect=FAULTS)
        self.assertEqual(
            {(f["line"], f["column"]) for f in value["findings"]},
            set(places))
        self.assertEqual(self.json(cluster, "show")["revision"], 1)

    def test_loser_of_a_race_sees_the_winner(self):
        cluster = self.start()
        cluster.apply()
        files = self.files(cluster)
        won = self.files(cluster, cluster.rules.replace(
            "share = 20", "share = 21", 1), "-won")
        self.json(cluster, "--who", "ann", "--why", "carnival", "apply",
                  *won, "1")
        lost = self.json(cluster, "apply", *files, "1", expect=CONFLICT)
        self.assertEqual(lost["in_force"]["who"], "ann")
        self.assertEqual(lost["in_force"]["why"], "carnival")
        self.assertEqual(
            [(d["added"], d["text"]) for d in lost["differences"]],
            [(False, "share = 21"), (True, "share = 20")])
        history = self.json(cluster, "history")["history"]
        self.assertEqual([h["revision"] for h in history], [2, 1])
        self.assertEqual(history[0]["what"], "rules +1 -1")
        diff = self.json(cluster, "diff", "1")["differences"]
        self.assertEqual(len(diff), 2)
        self.assertEqual(self.json(cluster, "show", "1")["changed_why"],
                         "test")
        self.json(cluster, "diff", "1", "9", expect=FAULTS)

    def test_lost_answer_is_resolved(self):
        cluster = self.start()
        cluster.apply()
        cluster.control("store", "mode=lose&count=5")
        self.json(cluster, "--no-wait", "zone", "out", "tt-south-1")
        self.assertEqual(cluster.control("store")["lost"], 5)
        history = self.json(cluster, "history")["history"]
        self.assertEqual([h["revision"] for h in history], [2, 1])
        self.assertEqual(history[0]["what"], "zone tt-south-1 is out")
        self.assertEqual(
            self.json(cluster, "resolve", history[0]["change_id"],
                      "2")["change"]["revision"], 2)
        self.json(cluster, "resolve", "0123", "2", expect=CONFLICT)
        self.json(cluster, "resolve", "0123", "3", expect=UNKNOWN)

    def test_answer_that_stays_lost_is_unknown(self):
        """The swap takes effect, and no answer to it ever comes."""
        cluster = self.start()
        cluster.apply()
        cluster.control("store", "mode=lose&after_writes=1")
        value = self.json(cluster, "--no-wait", "zone", "out", "tt-south-1",
                          expect=UNKNOWN)
        cluster.control("store", "mode=ok")
        question = ["resolve", value["change_id"], str(value["revision"])]
        self.assertIn("siskinctl " + " ".join(question), value["error"])
        self.json(cluster, *question)
        self.assertEqual(self.json(cluster, "show")["zones_out"],
                         ["tt-south-1"])

    def test_outage_changes_nothing(self):
        cluster = self.start()
        cluster.apply()
        cluster.programs["store"].kill()
        value = self.json(cluster, "zone", "out", "tt-south-1",
                          expect=UNAVAILABLE)
        self.assertIn("nothing was changed", value["error"])

    def test_racing_marks_are_all_kept(self):
        cluster = self.start()
        cluster.apply()
        names = ["style-%02d" % i for i in range(1, 9)]
        running = [cluster.start_ctl("--no-wait", "drain", n) for n in names]
        self.assertEqual([p.wait(60) for p in running], [OK] * len(names))
        value = self.json(cluster, "show")
        self.assertEqual(sorted(value["draining"]), names)
        self.assertEqual(value["revision"], 1 + len(names))
        value = self.json(cluster, "--no-wait", "drain", names[0])
        self.assertFalse(value["changed"])
        value = self.json(cluster, "--no-wait", "undrain", names[0])
        self.assertTrue(value["changed"])
        self.json(cluster, "drain", "nobody", expect=FAULTS)

    def test_last_zone_needs_force(self):
        cluster = self.start()
        cluster.apply()
        for zone in ["tt-south-1", "tt-south-2"]:
            self.json(cluster, "--no-wait", "zone", "out", zone)
        value = self.json(cluster, "--no-wait", "zone", "out", "tt-south-3",
                          expect=REFUSED)
        self.assertIn("without any upstream", value["error"])
        self.json(cluster, "--no-wait", "--force", "zone", "out",
                  "tt-south-3")

    def test_zone_out_names_who_did_not_confirm(self):
        cluster = Cluster(SAMPLES + "/maracas/rules.toml")
        self.addCleanup(cluster.__exit__, None, None, None)
        cluster.start_store()
        for i, zone in enumerate(Cluster.ZONES):
            cluster.start_upstream("style-%d" % i, zone, "model", "style",
                                   "style-assistant")
        cluster.apply()
        cluster.wait_for_settings(["style-%d" % i for i in range(3)], 1)
        value = self.json(cluster, "zone", "out", "tt-south-1")
        self.assertEqual((value["confirmed"], value["asked"]), (3, 3))
        status = self.json(cluster, "status")
        self.assertEqual({p["found_revision"] for p in status["processes"]},
                         {2})
        cluster.programs["style-2-agent"].kill()
        value = self.json(cluster, "zone", "in", "tt-south-1",
                          expect=INCOMPLETE)
        self.assertEqual([p["name"] for p in value["unconfirmed"]],
                         ["style-2"])
        self.json(cluster, "status", expect=INCOMPLETE)

    def test_too_large_for_the_store(self):
        cluster = self.start()
        files = self.files(cluster, cluster.rules + "#" * 1000000)
        value = self.json(cluster, "apply", *files, "0", expect=FAULTS)
        self.assertRegex(value["error"], "make 10[0-9]+ bytes; the store hold")

    def test_old_documents_are_dropped(self):
        cluster = self.start()
        cluster.apply()
        for i in range(101):
            for command in ["drain", "undrain"]:
                self.json(cluster, "--no-wait", command, "style-01")
        self.assertEqual(self.json(cluster, "show")["revision"], 203)
        self.json(cluster, "show", "2", expect=FAULTS)
        self.assertEqual(self.json(cluster, "show", "3")["revision"], 3)
        self.assertEqual(
            self.json(cluster, "history", "300")["history"][-1]["revision"],
            1)

    def test_another_address_of_the_store(self):
        cluster = self.start()
        cluster.apply()
        url, cluster.store_url = cluster.store_url(), lambda: (
            "http://127.0.0.1:1")
        self.assertEqual(self.json(cluster, "--store", url, "show")
                         ["revision"], 1)

    def test_usage(self):
        cluster = self.start()
        for arguments in [["apply", "a", "b", "-1"], ["apply", "a"],
                          ["history", "0"], ["zone", "off", "x"], ["nothing"],
                          ["--why", "", "zone", "in", "x"]]:
            self.assertEqual(cluster.ctl(*arguments).returncode, USAGE)


if __name__ == "__main__":
    unittest.main()
