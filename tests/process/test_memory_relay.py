"""Clients that exceed a relay's limits together, though each alone may keep to
them: the relay must neither grow beyond its memory nor run out of descriptors,
and must serve others."""

import unittest

import crowd
import platform_replicas as replicas
from cluster import wait_until
from platform_fixture import HOST, KEY, Caller, Platform, ask

BODY_BYTES = 1024 * 1024
CLIENTS = 120
SILENT_CLIENTS = 500
EVENT_BYTES = 900 * 1024  # below the largest event that the relay accepts
SERVED_TIMEOUT_S = 20
LONG_MS = 60000
FIELDS = {"Host": HOST, "Request-Id": "crowd", "Authorization": "Token " + KEY,
          "Deadline-Ms": "30000"}


class RelayMemoryTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)

        # No timeout may end the requests before all of them are there.
        def lengthen_timeouts(config):
            config["limits"].update(header_timeout_ms=LONG_MS,
                                    idle_timeout_ms=LONG_MS)
        self.platform.configure(lengthen_timeouts)
        self.platform.add_replica("app")
        self.model = self.platform.add_replica("model", slots=2 * CLIENTS)
        self.relay = self.platform.start_relay(settings=crowd.LIMITS,
                                               max_files=crowd.MAX_FILES)
        self.watch = crowd.Watch(self.relay)
        wait_until(lambda: ask(self.relay, "/check/").status == 200,
                   SERVED_TIMEOUT_S, "service")

    def check(self):
        self.watch.settle()
        self.watch.check(self)
        self.assertEqual(ask(self.relay, "/check/").status, 200)

    def run_bodies(self, name):
        head, body, rest = crowd.bodies("/book/", FIELDS, BODY_BYTES)[name]
        with crowd.Crowd(self.relay.client_port, CLIENTS) as clients:
            clients.send(head, body)
            self.watch.settle()
            clients.send(rest)
            self.check()

    def test_bodies_by_length(self):
        self.run_bodies("by length")

    def test_bodies_in_large_chunks(self):
        self.run_bodies("large chunks")

    def test_bodies_in_chunks_of_one_byte(self):
        self.run_bodies("chunks of one byte")

    def test_bodies_far_too_large_declared(self):
        self.run_bodies("far too large, declared")

    def test_bodies_far_too_large_simply_sent(self):
        self.run_bodies("far too large, simply sent")

    def test_slow_readers_of_large_events(self):
        """Each event is sent whole, so the relay holds one for each client."""
        async def send_large(replica, request, writer):
            large = b"data: %s\n\n" % (b"x" * EVENT_BYTES)
            writer.write(replicas.response_bytes(
                200, b"", replica.stamp(request, [
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked")]), length=False))
            for _ in range(8):
                writer.write(b"%x\r\n%s\r\n" % (len(large), large))
                await writer.drain()
            await replicas.hang(replica, request, writer)
        self.model.answer = send_large
        with crowd.Crowd(self.relay.client_port, CLIENTS) as clients:
            clients.send(crowd.post("/look/", FIELDS, 1) + b"x")
            self.check()

    def test_silent_connections(self):
        """Connections that send nothing must leave room for others."""
        with crowd.Crowd(self.relay.client_port, SILENT_CLIENTS):
            self.check()

    def test_silent_connections_to_the_other_ports(self):
        for port in (self.relay.ready_port, self.relay.admin_port):
            with crowd.Crowd(port, SILENT_CLIENTS):
                self.check()
                self.assertTrue(self.platform.is_ready(self.relay))
                self.assertEqual(crowd.scrape(self.relay.admin_port), 200)

    def test_one_full_size_request_is_served(self):
        """In calm, a request of the largest size allowed is served."""
        with Caller(self.relay) as caller:
            reply = caller.ask("/check/", method="POST",
                               body=b"x" * BODY_BYTES)
        self.assertEqual(reply.status, 200)


if __name__ == "__main__":
    unittest.main()
