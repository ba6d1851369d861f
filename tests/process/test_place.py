"""siskinctl place: where a relay would send a request now, and why, without
sending it."""

import contextlib
import http.client
import json
import subprocess
import unittest

from cluster import BUILD, wait_until
from platform_fixture import ACCOUNT, HOST, KEY, Caller, Platform, ask

EXIT_ERROR = 1
EXIT_USAGE = 64
CHANGE_S = 5
QUEUED = 3
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Together more than MAX_ANSWER_BYTES.
LISTINGS = 2000
ID_BYTES = 2200
# Change by themselves, or with the call to the page, which is no request.
VOLATILE = ("siskin_worker_", "siskin_memory_", "siskin_connections",
            "siskin_log_", "siskin_platform_", "siskin_store_",
            "siskin_http_", "#")


class PlaceTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure(
            lambda config: config["tenants"][0].update(priority=0))
        self.apps = [self.platform.add_replica("app", zone) for zone in "abc"]
        self.relay = self.platform.start_relay()
        self.admin = "127.0.0.1:%d" % self.relay.admin_port

    def run_place(self, *arguments, options=(), key=KEY, admin=None):
        arguments = list(arguments)
        if key is not None:
            arguments.append("key-file=-")
        return subprocess.run(
            [BUILD + "/ctl/siskinctl", *options, "place",
             admin or self.admin, *arguments],
            input=None if key is None else key + "\n", capture_output=True,
            text=True, timeout=20)

    def place(self, path="/check/x", *arguments, **options):
        result = self.run_place(HOST, path, *arguments, options=["--json"],
                                **options)
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
        self.assertNotIn(KEY, result.stdout + result.stderr)
        return json.loads(result.stdout)["placement"]

    def ask_page(self, method, body):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.relay.admin_port, timeout=5)
        connection.request(method, "/place", body)
        reply = connection.getresponse()
        text = reply.read().decode()
        connection.close()
        return reply.status, text

    def obstacles(self):
        return {upstream["id"]: upstream["obstacle"]
                for upstream in self.place()["upstreams"]}

    def counters(self):
        return [line for line
                in self.platform.metrics(self.relay).splitlines()
                if not line.startswith(VOLATILE)]

    def test_request_is_explained_and_not_made(self):
        ask(self.relay, "/check/x")
        runs = len(self.platform.runs())
        before = self.counters()
        placement = self.place("/check/x", "prompt=700", "output=20",
                               "hint=10", "timeout=2000")
        self.assertEqual(placement["action"], "send")
        self.assertIn(placement["upstream"], [app.id for app in self.apps])
        self.assertEqual(placement["route"], "check")
        self.assertEqual(placement["service"], "app")
        self.assertEqual(placement["account"], ACCOUNT)
        self.assertEqual(placement["timeout_ms"], 2000)
        self.assertEqual(placement["queue"]["before"], 0)
        self.assertEqual(len(placement["upstreams"]), 3)
        self.assertEqual(self.counters(), before)
        self.assertEqual(len(self.platform.runs()), runs)
        self.assertNotIn(KEY, self.relay.text())

    def test_table_is_printed(self):
        result = self.run_place(HOST, "/check/x")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertRegex(result.stdout, r"\Asent to \S+, least-loaded of 3 ")
        self.assertRegex(result.stdout, r"\nUPSTREAM +ZONE +GROUP +OBSTACLE ")
        for app in self.apps:
            self.assertRegex(result.stdout, r"\n%s +%s " % (app.id, app.zone))
        self.assertNotIn(KEY, result.stdout)

    def test_obstacles_are_named(self):
        self.apps[0].state = "draining"
        self.platform.run(self.apps[0].publish())
        self.platform.put("op/evacuate/b", b"")
        wait_until(lambda: self.obstacles() == {
            self.apps[0].id: "draining", self.apps[1].id: "zone-out",
            self.apps[2].id: "none"}, CHANGE_S, "the obstacles")
        self.assertEqual(self.place()["upstream"], self.apps[2].id)
        self.platform.put("op/evacuate/c", b"")
        wait_until(lambda: self.place()["action"] == "wait", CHANGE_S,
                   "no upstream to be allowed")
        placement = self.place("/check/x", "timeout=2000")
        self.assertEqual(placement["why"], "none-allowed")
        self.assertIsNone(placement["upstream"])
        # As a request that is refused after its wait.
        self.assertEqual(placement["longest_wait_ms"], 100)
        self.assertEqual(placement["retry_after_ms"], 475)

    def test_request_without_route_or_account_is_refused(self):
        for path, key, why in (("/none/x", KEY, "no-route"),
                               ("/check/x", "key-unknown", "unknown-key"),
                               ("/check/x", None, "unknown-key")):
            with self.subTest(path=path, key=key):
                placement = self.place(path, key=key)
                self.assertEqual(placement["action"], "refuse")
                self.assertEqual(placement["why"], why)
        self.assertNotIn("key-unknown", self.relay.text())

    def place_behind_queue(self):
        """Asks while QUEUED requests wait.  They are queued for a second or
        two only, so on a busy machine some may have ended; then again."""
        def ask():
            with contextlib.ExitStack() as stack:
                for _ in range(QUEUED):
                    caller = stack.enter_context(Caller(self.relay))
                    caller.send("/check/x")
                placement = self.place()
            return placement["queue"]["before"] == QUEUED and placement
        return wait_until(ask, CHANGE_S, "the queue")

    def test_position_in_the_queue_is_told(self):
        """All replicas are cold and take no request, so requests queue."""
        def make_cold(config):
            config["services"][1].update(cold_per_s=0.001)
        self.platform.configure(make_cold)
        for app in self.apps:
            app.cold_left_ms = 20000
            self.platform.run(app.publish())
        wait_until(lambda: set(self.obstacles().values()) == {"cold"},
                   CHANGE_S, "the cold start")
        placement = self.place_behind_queue()
        self.assertEqual(placement["action"], "wait")
        self.assertEqual(placement["why"], "all-cold")
        self.assertEqual(placement["queue"]["classes"][-1],
                         {"urgency": placement["urgency"], "before": QUEUED})

    def test_engines_are_shown_as_reported(self):
        self.platform.start_group(ranks=3)
        wait_until(lambda: [
            bool(upstream["group"]) and upstream["capacity"] is not None
            for upstream in self.place("/look/x")["upstreams"]] == [True] * 3,
            CHANGE_S, "the reports of all engines")
        placement = self.place("/look/x", "hint=100", "output=500")
        self.assertEqual(len(placement["upstreams"]), 3)
        self.assertEqual(placement["expected_events"], 100 / 5)
        self.assertGreater(placement["work_ms"], 0)
        upstream = placement["upstreams"][0]
        self.assertTrue(upstream["group"])
        self.assertGreater(upstream["capacity"]["free"], 0)
        self.assertGreaterEqual(upstream["report_age_ms"], 0)

    def test_bad_arguments(self):
        for arguments, error in (
                ((HOST, "check"), "path must begin with a slash"),
                (("", "/check/x"), "host must not be empty"),
                ((b"\xff", "/check/x"), "must be UTF-8"),
                ((HOST, "/check/x", "prompt=many"), "not a number"),
                ((HOST, "/check/x", "prompt=-1"), "not a number"),
                ((HOST, "/check/x", "output=99999999999"), "from 0 to"),
                ((HOST, "/check/x", "timeout=99999999999"), "from 0 to"),
                ((HOST, "/check/x", "size=1"), "size: unknown argument"),
                ((HOST, "/check/x", KEY), "has no '='"),
                ((HOST, "/check/x", "key-file=/none"), "/none")):
            with self.subTest(arguments=arguments):
                result = self.run_place(*arguments, key=None)
                self.assertEqual(result.returncode, EXIT_ERROR)
                self.assertIn(error, result.stderr)
                self.assertNotIn(KEY, result.stderr)
        self.assertEqual(self.run_place(HOST, key=None).returncode,
                         EXIT_USAGE)
        result = self.run_place(HOST, "/check/x", admin="127.0.0.1:1")
        self.assertEqual(result.returncode, EXIT_ERROR)
        self.assertIn("127.0.0.1:1: ", result.stderr)
        result = self.run_place(
            HOST, "/check/x", admin="127.0.0.1:%d" % self.relay.ready_port)
        self.assertEqual(result.returncode, EXIT_ERROR)

    def test_bad_questions_get_an_error_without_their_text(self):
        for method, body, status in (
                ("GET", None, 405), ("POST", "", 400), ("POST", "[]", 400),
                ("POST", '{"host": "%s' % KEY, 400),
                ("POST", '{"host": "a", "path": "/", "%s": 1}' % KEY, 400),
                ("POST", '{"host": "a", "path": "/", "key": 1}', 400),
                ("POST", '{"host": "a", "path": "/", "prompt_tokens": 1e999}',
                 400),
                ("POST", '{"host": "a", "path": "/", "timeout_ms": -1.5}',
                 400),
                ("POST", '{"host": "a", "path": "/", "timeout_ms": -2}',
                 400)):
            with self.subTest(method=method, body=body):
                reply_status, text = self.ask_page(method, body)
                self.assertEqual(reply_status, status)
                self.assertTrue(json.loads(text)["error"])
                self.assertNotIn(KEY, text)
        self.assertNotIn(KEY, self.relay.text())
        self.assertEqual(self.place()["action"], "send")

    def test_answer_is_bounded(self):
        """Any number of listings, with ids of any length, must not make the
        relay build an answer of any size."""
        self.platform.run(self.platform.store.write({
            "servers/r%d%s" % (number, "x" * ID_BYTES): (json.dumps({
                **self.apps[0].listing(),
                "address": "127.0.0.2:%d" % (1000 + number)}).encode(), 0)
            for number in range(LISTINGS)}))
        wait_until(lambda: self.platform.metric(
            self.relay, "siskin_fleet_upstreams") > LISTINGS, CHANGE_S,
            "the listings")
        status, text = self.ask_page("POST", json.dumps(
            {"host": HOST, "path": "/check/x", "key": KEY}))
        self.assertEqual(status, 200)
        self.assertLess(len(text), MAX_ANSWER_BYTES)
        answer = json.loads(text)
        self.assertGreater(answer["omitted_upstreams"], 0)
        self.assertEqual(
            len(answer["upstreams"]) + answer["omitted_upstreams"],
            LISTINGS + len(self.apps))
        self.assertEqual(self.run_place(HOST, "/check/x").returncode, 0)


if __name__ == "__main__":
    unittest.main()
