"""A replica in trouble answers with a status that HTTP does not have: the
client must not get it as an answer."""

import http.server
import os
import threading
import time
import unittest
import uuid

import platform_replicas as replicas
from cluster import Cluster, wait_until
from platform_fixture import Platform, ask

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "samples")
STATUSES = [b"000", b"099", b"600", b"999", b"20", b"2000", b"-20", b"+20",
            b"0200", b"2 0", b"abc", b""]
OK, BAD_GATEWAY = 200, 502


class RelayTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure()
        self.apps = [self.platform.add_replica("app", zone) for zone in "ab"]
        self.models = [self.platform.add_replica("model", zone)
                       for zone in "ab"]
        self.relay = self.platform.start_relay()

    def answer(self, upstreams, sound, statuses):
        """Lets UPSTREAMS answer as SOUND does, the first requests with
        STATUSES."""
        statuses = list(statuses)

        async def answer(replica, request, writer):
            status = statuses.pop(0) if statuses else b"200"
            return await replicas.with_status(status, sound)(
                replica, request, writer)
        for upstream in upstreams:
            upstream.answer = answer

    def test_whole_answer(self):
        for status in STATUSES:
            with self.subTest(status=status):
                self.answer(self.apps, replicas.answer_normally, [status])
                reply = ask(self.relay, "/book/", method="POST", body=b"x")
                self.assertEqual(reply.status, BAD_GATEWAY)
                self.assertNotIn("Response-Stamp", reply.headers)
                self.assertTrue(reply.is_complete)

    def test_stream(self):
        for status in STATUSES:
            with self.subTest(status=status):
                self.answer(self.models, replicas.stream(), [status, status])
                reply = ask(self.relay, "/look/", method="POST")
                self.assertEqual(reply.status, BAD_GATEWAY)
                self.assertNotIn("Response-Stamp", reply.headers)

    def test_request_that_may_be_repeated(self):
        for status in STATUSES:
            with self.subTest(status=status):
                self.answer(self.apps, replicas.answer_normally, [status])
                self.assertEqual(ask(self.relay, "/check/").status, OK)
                self.answer(self.models, replicas.stream(), [status])
                reply = ask(self.relay, "/look/", method="POST")
                self.assertEqual(reply.status, OK)
                self.assertTrue(reply.is_complete)
                self.assertEqual(reply.body.count(b"data: "),
                                 replicas.STREAM_PIECES)


class Upstream(http.server.BaseHTTPRequestHandler):
    """Answers each request with the status of its server."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def do_GET(self):
        self.send_error(404)

    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        body = b"data: piece\n\n"
        media_type = (b"text/event-stream" if self.path.startswith("/v1/")
                      else b"application/json")
        self.wfile.write(b"HTTP/1.1 %s Answer\r\nContent-Type: %s\r\n"
                         b"Content-Length: %d\r\n\r\n%s" % (
                             self.server.status, media_type, len(body), body))


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(SAMPLES + "/maracas/rules.toml")
        self.addCleanup(lambda: self.cluster.__exit__(None, None, None))
        self.cluster.start_store()
        self.upstreams = []
        zone = Cluster.ZONES[0]
        for name, kind, service, model in (
                ("style-0", "model", "style", "style-assistant"),
                ("booking-0", "plain", "booking", "")):
            self.start_upstream(name)
            port = self.cluster.start_agent(name, zone)
            self.cluster.inventory.append("%s,127.0.0.1:%d,%s,%s,%s,%s,," % (
                name, port, zone, kind, service, model))
        self.cluster.apply()
        self.cluster.start_entry("entry-1", zone)
        self.cluster.wait_for_settings(["entry-1", "style-0", "booking-0"], 1)
        self.cluster.wait_for_links(["entry-1"], ["style-0", "booking-0"])

    def start_upstream(self, name):
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Upstream)
        server.status = b"200"
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        self.cluster.ports[name] = server.server_address[1]
        self.upstreams.append(server)

    def expect_failure(self, reply):
        """The entry fails the request itself, with a status of its own."""
        self.assertGreaterEqual(reply.status, 500)
        self.assertLess(reply.status, 600)
        self.assertNotIn(b"piece", reply.body)

    def set_status(self, status):
        for upstream in self.upstreams:
            upstream.status = status

    def book(self, key):
        return self.cluster.call("entry-1", "/bookings", {"fitting": 1},
                                 account="salon-desk", timeout=5,
                                 Idempotency_Key=key)

    @staticmethod
    def new_key():
        return time.strftime("%Y%m%dT%H%M%SZ-", time.gmtime()) \
            + uuid.uuid4().hex

    def test_whole_answer(self):
        """The outcome that is kept for its key is no answer either."""
        wait_until(lambda: self.book(self.new_key()).status == OK, 10,
                   "an answer")
        for status in STATUSES:
            with self.subTest(status=status):
                self.set_status(status)
                key = self.new_key()
                self.expect_failure(self.book(key))
                self.set_status(b"200")
                self.expect_failure(self.book(key))

    def test_stream(self):
        wait_until(lambda: self.cluster.chat("entry-1").status == OK, 10,
                   "an answer")
        for status in STATUSES:
            with self.subTest(status=status):
                self.set_status(status)
                self.expect_failure(self.cluster.chat("entry-1", timeout=5))


if __name__ == "__main__":
    unittest.main()
