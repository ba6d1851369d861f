"""Responses that clients get through a relay, and how often requests run."""

import socket
import time
import unittest

import crowd
import platform_replicas as replicas
from platform_fixture import (ACCOUNT, HOST, KEY, Caller, Platform, ask,
                              new_id)
from cluster import wait_until


BODY_LIMIT = 1024 * 1024
MANY_FIELDS = 300
MAX_DETOUR_S = 0.15  # for a request whose first connections are refused
MAX_REFUSAL_S = 0.4  # for a request that cannot be served


class RelayAnswersTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure()
        self.apps = [self.platform.add_replica("app", zone) for zone in "abc"]
        self.models = [self.platform.add_replica("model", zone, slots=4)
                       for zone in "abc"]
        for model in self.models:
            model.answer = replicas.stream()
        self.relay = self.platform.start_relay()

    def handle_first_request(self, first, apps=None):
        """Handle the first request with FIRST and all later ones normally."""
        first_requests = []

        async def answer(replica, request, writer):
            if first_requests:
                return await replicas.answer_normally(replica, request, writer)
            first_requests.append(request)
            return await first(replica, request, writer)
        for app in apps or self.apps:
            app.answer = answer

    def runs_of(self, request_id):
        return [run for run in self.platform.runs()
                if run.headers["request-id"] == request_id]

    def test_request_and_response_pass_unchanged(self):
        reply = ask(self.relay, "/book/a%2Fb?x=1&y=%20", method="POST",
                    body=b"\x00\xff body", request_id="11aa",
                    headers={"Token-Counts": "10,2", "Model": "m"})
        run, = self.runs_of("11aa")
        self.assertEqual(reply.status, 200)
        self.assertTrue(reply.headers["Response-Stamp"].startswith("stamp-of"))
        self.assertIn(b"ran /book/a%2Fb?x=1&y=%20", reply.body)
        self.assertEqual(run.method, "POST")
        self.assertEqual(run.target, "/book/a%2Fb?x=1&y=%20")
        self.assertEqual(run.body, b"\x00\xff body")
        self.assertEqual(run.headers["token-counts"], "10,2")
        self.assertEqual(run.headers["tenant"], ACCOUNT)
        self.assertNotIn("authorization", run.headers)
        self.assertLessEqual(int(run.headers["deadline-ms"]), 3000)
        self.assertNotIn(KEY, str(run.fields))

    def test_many_header_fields_leave_room_for_the_answer(self):
        """A request's header within the limit and the header of its answer
        share the memory of a connection, which was closed without an answer
        to a request that had run."""
        fields = {"X-%d" % i: "v" * 30 for i in range(MANY_FIELDS)}
        for size, statuses in ((2500, {200}), (30000, {200, 502}),
                               (60000, {502})):
            for app in self.apps:
                app.answer = replicas.fail(200, [("Trace", "t" * size)])
            with Caller(self.relay) as caller:
                self.assertEqual(caller.ask("/check/").status, 200)
                reply = caller.ask("/book/", method="POST", body=b"x",
                                   headers=fields)
                self.assertIn(reply.status, statuses, size)
                self.assertTrue(reply.is_complete)

    def test_client_cannot_set_its_account_or_upstream(self):
        reply = ask(self.relay, "/check/", request_id="12aa", headers={
            "Tenant": "other", "Expect-Replica": "i-nobody", "Not-Run": "1"})
        run, = self.runs_of("12aa")
        self.assertEqual(reply.status, 200)
        self.assertEqual(run.headers["tenant"], ACCOUNT)
        self.assertNotIn("not-run", run.headers)

    def test_body_over_the_limit_is_refused_unread(self):
        """The client sees 413 although the relay has not read its body: closing
        a socket with unread data would reset the connection."""
        fields = {"Host": HOST, "Request-Id": "large",
                  "Authorization": "Token " + KEY}
        piece = crowd.chunks(BODY_LIMIT, 32 * 1024)
        for head in (crowd.post("/book/", fields, 400 * BODY_LIMIT),
                     crowd.post("/book/", fields)):
            with socket.create_connection(
                    ("127.0.0.1", self.relay.client_port), timeout=2) as client:
                sent = 0
                try:
                    client.sendall(head)
                    while sent < 100 * BODY_LIMIT:
                        client.sendall(piece)
                        sent += len(piece)
                except OSError:
                    pass
                self.assertIn(b" 413 ", client.recv(4096).splitlines()[0])
                self.assertLess(sent, 30 * BODY_LIMIT)
        self.assertEqual(self.platform.runs("/book/"), [])

    def test_unknown_key_or_route_reaches_no_upstream(self):
        self.assertEqual(ask(self.relay, "/check/", key="wrong").status, 401)
        self.assertEqual(ask(self.relay, "/check/", key=None).status, 401)
        self.assertEqual(ask(self.relay, "/nowhere").status, 404)
        self.assertEqual(self.platform.runs(), [])

    def test_server_error_of_upstream_passes_unchanged(self):
        for app in self.apps:
            app.answer = replicas.fail(500, body=b"broken inside")
        reply = ask(self.relay, "/book/", method="POST")
        self.assertEqual((reply.status, reply.body), (500, b"broken inside"))
        self.assertIn("Response-Stamp", reply.headers)
        self.assertEqual(len(self.platform.runs()), 1)

    def test_repeatable_request_is_retried_once_after_a_failure(self):
        for first in (replicas.fail(500), replicas.reset,
                      replicas.truncate_response, replicas.garbage,
                      replicas.answer_another_request,
                      replicas.fail(200, stamped=False),
                      replicas.fail(200, [("Content-Encoding", "gzip")])):
            with self.subTest(first=first):
                request_id = new_id()
                self.handle_first_request(first)
                reply = ask(self.relay, "/check/", request_id=request_id)
                self.assertEqual(reply.status, 200)
                self.assertIn(b"ran /check", reply.body)
                self.assertEqual(len(self.runs_of(request_id)), 2)

    def test_repeatable_request_runs_no_more_than_its_route_allows(self):
        for app in self.apps:
            app.answer = replicas.reset
        self.assertEqual(ask(self.relay, "/check/").status, 502)
        self.assertEqual(len(self.platform.runs()), 2)

    def test_idle_connections_are_not_used_after_the_keep_alive_timeout(self):
        writers = []

        async def answer(replica, request, writer):
            writers.append(writer)
            writer.write(replicas.response_bytes(200, b"ok", replica.stamp(
                request, [("Keep-Alive", "timeout=3")])))
            await writer.drain()
            return True
        for app in self.apps:
            app.answer = answer
        for _ in range(6):
            ask(self.relay, "/check/")
        before = set(writers)
        self.assertLess(len(before), 6)
        time.sleep(2.2)
        writers.clear()
        for _ in range(6):
            ask(self.relay, "/check/")
        self.assertEqual(before & set(writers), set())

    def test_dead_kept_channel_adds_no_sending(self):
        # Each connection serves one request and is aborted when it receives
        # the next one.
        async def answer(replica, request, writer):
            if getattr(writer, "is_used", False):
                writer.transport.abort()
                return False
            writer.is_used = True
            return await replicas.answer_normally(replica, request, writer)
        for app in self.apps:
            app.answer = answer
        for _ in range(30):
            request_id = new_id()
            reply = ask(self.relay, "/check/", request_id=request_id)
            runs = self.runs_of(request_id)
            self.assertEqual(reply.status, 200)
            self.assertLessEqual(len(runs), 2)
        granted = self.platform.metric(self.relay,
                                       "siskin_retries_granted_total")
        self.assertEqual(len(self.platform.runs()), 30 + granted)
        self.assertGreater(granted, 0)

    def test_request_that_may_have_run_is_not_retried(self):
        for first in (replicas.reset, replicas.truncate_response,
                      replicas.garbage, replicas.answer_another_request,
                      replicas.refuse_another_request,
                      replicas.fail(200, stamped=False),
                      replicas.fail(503, stamped=False)):
            with self.subTest(first=first):
                request_id = new_id()
                self.handle_first_request(first)
                reply = ask(self.relay, "/book/", method="POST",
                            request_id=request_id)
                self.assertEqual(reply.status, 502)
                self.assertNotIn("Response-Stamp", reply.headers)
                self.assertEqual(len(self.runs_of(request_id)), 1)

    def test_earlier_refusal_on_a_kept_connection_is_not_believed(self):
        for other in self.apps[1:]:
            self.platform.run(other.leave())
        app = self.apps[0]
        wait_until(lambda: self.platform.metric(
            self.relay, "siskin_fleet_upstreams") == 1 + len(self.models), 5,
            "the relay to know that the others are gone")
        for has_id in (True, False):
            app.answer = replicas.refuse_once_more(has_id)
            refused = set()
            for _ in range(10):
                request_id = new_id()
                reply = ask(self.relay, "/check/", request_id=request_id,
                            deadline_ms=300)
                if reply.status in (408, 421, 429, 503):
                    refused.add(request_id)
            ran = {run.headers["request-id"] for run in app.runs}
            self.assertGreater(len(ran), 1)
            self.assertEqual(refused & ran, set())

    def test_declined_request_is_retried_elsewhere(self):
        for path, method in (("/book/", "POST"), ("/check/", "GET")):
            request_id = new_id()
            self.handle_first_request(replicas.decline)
            reply = ask(self.relay, path, method=method,
                        request_id=request_id)
            self.assertEqual(reply.status, 200)
            self.assertEqual(len(self.runs_of(request_id)), 1)

    def test_request_declined_by_all_gets_retry_after(self):
        for app in self.apps:
            app.answer = replicas.decline
        reply = ask(self.relay, "/book/", method="POST", deadline_ms=1500)
        self.assertEqual(reply.status, 503)
        self.assertNotIn("Response-Stamp", reply.headers)
        self.assertGreater(float(reply.headers["Retry-After"]), 0)
        self.assertLessEqual(float(reply.headers["Retry-After"]), 0.5)
        self.assertEqual(self.platform.runs(), [])

    def test_refused_connection_costs_no_time(self):
        """A replica has crashed and is still listed.  The refusal of the
        connection is known at once, and another replica is tried."""
        for app in self.apps[1:]:
            self.platform.run(app.crash())
        for i in range(3):
            started = time.monotonic()
            self.assertEqual(ask(self.relay, "/check/").status, 200)
            self.assertLess(time.monotonic() - started, MAX_DETOUR_S)

    def test_request_without_any_upstream_is_refused_at_once(self):
        """All replicas of a service are leaving or gone.  Nothing can take the
        request before its time is over, so that its client is told when to
        come back instead of waiting."""
        for app in self.apps:
            self.platform.run(app.leave())
        wait_until(lambda: self.platform.metric(
            self.relay, "siskin_fleet_upstreams") == len(self.models), 5,
            "the relay to know that all are gone")
        for method, path in (("GET", "/check/"), ("POST", "/book/")):
            started = time.monotonic()
            reply = ask(self.relay, path, method=method, deadline_ms=3000)
            self.assertEqual(reply.status, 503)
            self.assertLess(time.monotonic() - started, MAX_REFUSAL_S)
            self.assertGreater(float(reply.headers["Retry-After"]), 0)

    def test_surplus_response_is_discarded(self):
        for app in self.apps:
            app.answer = replicas.answer_twice
        with Caller(self.relay) as caller:
            for i in range(20):
                reply = caller.ask("/check/?n=%d" % i)
                self.assertEqual(reply.status, 200)
                self.assertTrue(reply.body.endswith(b"ran /check/?n=%d" % i))

    def test_response_without_length_is_complete_at_connection_close(self):
        async def answer_without_length(replica, request, writer):
            writer.write(replicas.response_bytes(
                200, b"to the end", replica.stamp(request, [
                    ("Connection", "close")]), length=False))
            await writer.drain()
            return False
        for app in self.apps:
            app.answer = answer_without_length
        reply = ask(self.relay, "/book/", method="POST")
        self.assertEqual((reply.status, reply.body), (200, b"to the end"))

    def test_request_to_silent_upstream_ends_at_its_deadline(self):
        for app in self.apps:
            app.answer = replicas.hang
        reply = ask(self.relay, "/book/", method="POST", deadline_ms=600)
        self.assertEqual(reply.status, 504)
        self.assertEqual(len(self.platform.runs()), 1)

    def test_reused_address_does_not_run_the_request(self):
        app = self.apps[0]
        for other in self.apps[1:]:
            self.platform.run(other.leave())
        wait_until(lambda: ask(self.relay, "/check/").status == 200, 5,
                   "the remaining replica to serve")
        runs = len(app.runs)
        app.id = "i-another"  # its store entry still has the old id
        app.publish_task.cancel()
        reply = ask(self.relay, "/book/", method="POST", deadline_ms=800)
        self.assertEqual(reply.status, 503)
        self.assertEqual(len(app.runs), runs)
        self.assertGreater(app.misdirected, 0)

    def test_disconnected_client_releases_its_upstream(self):
        for app in self.apps:
            app.answer = replicas.hang
        caller = Caller(self.relay)
        caller.send("/book/", method="POST", request_id="13aa")
        wait_until(lambda: self.runs_of("13aa"), 5, "the request to run")
        caller.reset()
        wait_until(lambda: any("13aa" in app.aborted_requests
                               for app in self.apps),
                   2, "the upstream connection to close")

    def test_hundred_bookings_run_at_most_once_each(self):
        async def answer_in_turns(replica, request, writer):
            turn = len(replica.runs) % 5
            action = (replicas.answer_normally, replicas.reset,
                      replicas.decline, replicas.truncate_response,
                      replicas.fail(500))[turn]
            return await action(replica, request, writer)
        for app in self.apps:
            app.answer = answer_in_turns
        refused = set()
        for _ in range(100):
            request_id = new_id()
            reply = ask(self.relay, "/book/", method="POST",
                        request_id=request_id)
            if reply.status in (408, 421, 429, 503):
                refused.add(request_id)
        ids = [run.headers["request-id"] for run in self.platform.runs()]
        self.assertEqual(len(ids), len(set(ids)))
        self.assertEqual(refused & set(ids), set())


if __name__ == "__main__":
    unittest.main()
