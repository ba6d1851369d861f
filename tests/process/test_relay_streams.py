"""Streams through a relay: each event once, in order, to the end."""

import time
import unittest

import platform_replicas as replicas
from platform_world import Caller, Platform, ask
from cluster import wait_until

WHOLE = b"".join(replicas.event(i)
                 for i in range(1, replicas.STREAM_PIECES + 1))


class RelayStreamsTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure()
        self.models = [self.platform.add_replica("model", zone, slots=4)
                       for zone in "abc"]
        self.relay = self.platform.start_relay()

    def answer(self, first, later=None):
        taken = []

        async def answer(replica, request, writer):
            if taken:
                return await (later or replicas.stream)()(
                    replica, request, writer)
            taken.append(replica)
            return await first(replica, request, writer)
        for model in self.models:
            model.answer = answer

    def test_stream_passes_as_it_comes(self):
        self.answer(replicas.stream(gap_s=0.2))
        with Caller(self.relay) as caller:
            caller.send("/look/x", method="POST", body=b"prompt")
            response = caller.connection.getresponse()
            start = time.monotonic()
            self.assertEqual(response.read1(), replicas.event(1))
            self.assertLess(time.monotonic() - start, 0.2)
            self.assertEqual(replicas.event(1) + response.read(), WHOLE)

    def test_stream_that_breaks_off_goes_on_elsewhere(self):
        for stop_after in (1, 3, replicas.STREAM_PIECES):
            with self.subTest(stop_after=stop_after):
                self.answer(replicas.stream(stop_after=stop_after))
                reply = ask(self.relay, "/look/x", method="POST", body=b"p")
                self.assertEqual(reply.body, WHOLE)
                self.assertTrue(reply.is_whole)
                resumed = [run.headers["last-event-id"]
                           for run in self.platform.runs()
                           if "last-event-id" in run.headers]
                self.assertIn(str(stop_after), resumed)

    def test_cut_answer_without_events_is_not_joined_to_a_stream(self):
        self.answer(replicas.cut_short)
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(reply.body, WHOLE)

    def test_stream_is_not_joined_to_an_answer_without_events(self):
        self.answer(replicas.stream(stop_after=2),
                    lambda: replicas.answer_whole)
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(reply.body, replicas.event(1) + replicas.event(2))
        self.assertFalse(reply.is_whole)

    def test_stream_cut_within_an_event_goes_on_with_that_event(self):
        async def within(replica, request, writer):
            writer.write(replicas.answer_bytes(200, b"", replica.stamp(
                request, [("Content-Type", "text/event-stream"),
                          ("Transfer-Encoding", "chunked")]), length=False))
            part = replicas.event(1) + replicas.event(2)[:-4]
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
            writer.transport.abort()
            return False
        self.answer(within)
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(reply.body, WHOLE)

    def test_stream_that_stays_broken_is_not_told_as_whole(self):
        self.answer(replicas.stream(stop_after=2),
                    lambda: replicas.stream(stop_after=4))
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertFalse(reply.is_whole)
        self.assertTrue(WHOLE.startswith(reply.body))
        self.assertEqual(len(self.platform.runs()), 2)

    def test_stream_that_may_not_be_resumed_runs_once(self):
        def change(config):
            config["routes"][0]["resumable"] = False
        version = self.platform.configure(change)
        wait_until(lambda: "siskin_rules_version %d" % version
                   in self.platform.metrics(self.relay), 2, "the version")
        self.answer(replicas.stream(stop_after=2))
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertFalse(reply.is_whole)
        self.assertEqual(len(self.platform.runs()), 1)

    def test_client_goes_on_from_its_own_last_event(self):
        self.answer(replicas.stream())
        reply = ask(self.relay, "/look/x", method="POST", body=b"p",
                    headers={"Last-Event-Id": "4"})
        self.assertEqual(reply.body, replicas.event(5) + replicas.event(6))

    def test_stream_whose_client_leaves_is_broken_off(self):
        self.answer(replicas.stream(pieces=1000))
        caller = Caller(self.relay)
        caller.send("/look/x", method="POST", body=b"p", request_id="14aa")
        caller.connection.getresponse().read1()
        caller.reset()
        wait_until(lambda: any("14aa" in model.broken_off
                               for model in self.models), 2,
                   "the upstream to be let go")

    def test_stream_that_falls_silent_goes_on_elsewhere(self):
        self.answer(replicas.stream(stop_after=2, then="hang"))
        start = time.monotonic()
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(reply.body, WHOLE)
        # Clients leave after two seconds of silence.
        self.assertLess(time.monotonic() - start, 1.8)

    def test_streams_that_all_hang_run_as_often_as_the_route_allows(self):
        self.answer(replicas.hang, lambda: replicas.hang)
        ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(len(self.platform.runs()), 2)

    def test_leaving_a_silent_upstream_counts_as_a_repeat(self):
        self.answer(replicas.hang)
        ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(len(self.platform.runs()), 2)
        self.assertEqual(self.platform.metric(
            self.relay, "siskin_retries_granted_total"), 1)

    def test_stream_that_never_starts_is_tried_elsewhere(self):
        self.answer(replicas.hang)
        start = time.monotonic()
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(reply.body, WHOLE)
        self.assertLess(time.monotonic() - start, 1.8)


if __name__ == "__main__":
    unittest.main()
