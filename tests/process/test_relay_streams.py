"""Streams through a relay deliver each event once, in order, to the end."""

import asyncio
import socket
import time
import unittest

import platform_replicas as replicas
from platform_fixture import Caller, Platform, ask
from cluster import wait_until

COMPLETE_STREAM = b"".join(
    replicas.event(i) for i in range(1, replicas.STREAM_PIECES + 1))


def unframed_stream(body, is_reset=False):
    """Streams BODY with neither a length nor chunks, and ends with its
    connection."""
    async def answer(replica, request, writer):
        writer.write(replicas.response_bytes(200, b"", replica.stamp(
            request, [("Content-Type", "text/event-stream"),
                      ("Connection", "close")]), length=False) + body)
        await writer.drain()
        if is_reset:
            await asyncio.sleep(0.05)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()
        return False
    return answer


def chunked_stream(body, rest=b"0\r\n\r\n"):
    """Streams BODY as one chunk, followed by REST."""
    async def answer(replica, request, writer):
        writer.write(replicas.response_bytes(200, b"", replica.stamp(
            request, [("Content-Type", "text/event-stream"),
                      ("Transfer-Encoding", "chunked")]), length=False))
        writer.write(b"%x\r\n%s\r\n" % (len(body), body) + rest)
        await writer.drain()
        return False
    return answer


def raw_answer(text):
    async def answer(replica, request, writer):
        writer.write(text)
        await writer.drain()
        return False
    return answer


class RelayStreamsTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure()
        self.models = [self.platform.add_replica("model", zone, slots=4)
                       for zone in "abc"]
        self.relay = self.platform.start_relay()

    # Handles the first request with FIRST, all later ones with LATER ().
    def answer(self, first, later=None):
        first_replicas = []

        async def answer(replica, request, writer):
            if first_replicas:
                return await (later or replicas.stream)()(
                    replica, request, writer)
            first_replicas.append(replica)
            return await first(replica, request, writer)
        for model in self.models:
            model.answer = answer

    def test_stream_events_are_not_delayed(self):
        self.answer(replicas.stream(gap_s=0.2))
        with Caller(self.relay) as caller:
            caller.send("/look/x", method="POST", body=b"prompt")
            response = caller.connection.getresponse()
            start = time.monotonic()
            self.assertEqual(response.read1(), replicas.event(1))
            self.assertLess(time.monotonic() - start, 0.2)
            self.assertEqual(replicas.event(1) + response.read(),
                             COMPLETE_STREAM)

    def test_truncated_stream_resumes_elsewhere(self):
        for stop_after in (1, 3, replicas.STREAM_PIECES):
            with self.subTest(stop_after=stop_after):
                self.answer(replicas.stream(stop_after=stop_after))
                reply = ask(self.relay, "/look/x", method="POST", body=b"p")
                self.assertEqual(reply.body, COMPLETE_STREAM)
                self.assertTrue(reply.is_complete)
                resumed = [run.headers["last-event-id"]
                           for run in self.platform.runs()
                           if "last-event-id" in run.headers]
                self.assertIn(str(stop_after), resumed)

    def test_cut_answer_without_events_is_not_joined_to_a_stream(self):
        self.answer(replicas.truncate_response)
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(reply.body, COMPLETE_STREAM)

    def test_stream_is_not_continued_by_a_response_without_events(self):
        self.answer(replicas.stream(stop_after=2),
                    lambda: replicas.answer_normally)
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(reply.body, replicas.event(1) + replicas.event(2))
        self.assertFalse(reply.is_complete)

    def test_error_of_the_next_replica_is_not_part_of_the_stream(self):
        error = replicas.response_bytes(500, b"oops\n\n")
        event_type = [("Content-Type", "text/event-stream")]
        for name, answer in {
                "error": replicas.fail(500, body=b"oops\n\n"),
                "error as events": replicas.fail(500, event_type,
                                                 body=b"data: oops\n\n"),
                "refusal": replicas.fail(503, [("Not-Run", "1")], False),
                "plain success": replicas.fail(200, body=b"oops\n\n"),
                "without proof": replicas.fail(200, event_type, False,
                                               b"data: oops\n\n"),
                "garbage": replicas.garbage,
                "raw error": raw_answer(error),
                "text for events": unframed_stream(b"oops\n\n"),
                "head for events": unframed_stream(error)}.items():
            with self.subTest(name):
                self.answer(replicas.stream(stop_after=2), lambda: answer)
                reply = ask(self.relay, "/look/x", method="POST", body=b"p")
                self.assertEqual(reply.body,
                                 replicas.event(1) + replicas.event(2))
                self.assertFalse(reply.is_complete)

    def test_error_within_a_stream_is_not_passed_on(self):
        """The replica writes an error, with its head, after the events of a
        stream that it can't go on with."""
        error = replicas.response_bytes(500, b"oops\n\n")
        for name, answer in {
                "unframed": unframed_stream(replicas.event(1) + error),
                "chunk": chunked_stream(replicas.event(1) + error),
                "for a chunk": chunked_stream(replicas.event(1), error)
        }.items():
            with self.subTest(name):
                self.answer(answer)
                reply = ask(self.relay, "/look/x", method="POST", body=b"p")
                self.assertEqual(reply.body, COMPLETE_STREAM)
                self.assertTrue(reply.is_complete)

    def test_stream_cut_within_an_event_resumes_with_that_event(self):
        async def cut_within_event(replica, request, writer):
            writer.write(replicas.response_bytes(200, b"", replica.stamp(
                request, [("Content-Type", "text/event-stream"),
                          ("Transfer-Encoding", "chunked")]), length=False))
            part = replicas.event(1) + replicas.event(2)[:-4]
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
            writer.transport.abort()
            return False
        self.answer(cut_within_event)
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(reply.body, COMPLETE_STREAM)

    def test_unframed_stream_is_complete_at_connection_close(self):
        self.answer(unframed_stream(COMPLETE_STREAM))
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(reply.body, COMPLETE_STREAM)
        self.assertTrue(reply.is_complete)
        self.assertEqual(len(self.platform.runs()), 1)

    def test_unframed_stream_that_breaks_off_resumes_elsewhere(self):
        part = replicas.event(1) + replicas.event(2)[:-4]
        for name, answer in {
                "within an event": unframed_stream(part),
                "without an event": unframed_stream(b""),
                "reset": unframed_stream(replicas.event(1), True)}.items():
            with self.subTest(name):
                self.answer(answer)
                reply = ask(self.relay, "/look/x", method="POST", body=b"p")
                self.assertEqual(reply.body, COMPLETE_STREAM)
                self.assertTrue(reply.is_complete)

    def test_stream_truncated_again_is_not_reported_as_complete(self):
        self.answer(replicas.stream(stop_after=2),
                    lambda: replicas.stream(stop_after=4))
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertFalse(reply.is_complete)
        self.assertTrue(COMPLETE_STREAM.startswith(reply.body))
        self.assertEqual(len(self.platform.runs()), 2)

    def test_stream_of_a_route_without_resumption_runs_once(self):
        def change(config):
            config["routes"][0]["resumable"] = False
        version = self.platform.configure(change)
        wait_until(lambda: "siskin_rules_version %d" % version
                   in self.platform.metrics(self.relay), 2, "the version")
        self.answer(replicas.stream(stop_after=2))
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertFalse(reply.is_complete)
        self.assertEqual(len(self.platform.runs()), 1)

    def test_client_resumes_after_its_last_event_id(self):
        self.answer(replicas.stream())
        reply = ask(self.relay, "/look/x", method="POST", body=b"p",
                    headers={"Last-Event-Id": "4"})
        self.assertEqual(reply.body, replicas.event(5) + replicas.event(6))

    def test_stream_is_aborted_when_its_client_disconnects(self):
        self.answer(replicas.stream(pieces=1000))
        caller = Caller(self.relay)
        caller.send("/look/x", method="POST", body=b"p", request_id="14aa")
        caller.connection.getresponse().read1()
        caller.reset()
        wait_until(lambda: any("14aa" in model.aborted_requests
                               for model in self.models), 2,
                   "the upstream connection to close")

    def test_silent_stream_resumes_elsewhere(self):
        self.answer(replicas.stream(stop_after=2, then="hang"))
        start = time.monotonic()
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(reply.body, COMPLETE_STREAM)
        # Clients disconnect after two seconds without data.
        self.assertLess(time.monotonic() - start, 1.8)

    def test_hanging_streams_run_as_often_as_the_route_allows(self):
        self.answer(replicas.hang, lambda: replicas.hang)
        ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(len(self.platform.runs()), 2)

    def test_leaving_a_silent_upstream_counts_as_a_repeat(self):
        self.answer(replicas.hang)
        ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(len(self.platform.runs()), 2)
        self.assertEqual(self.platform.metric(
            self.relay, "siskin_retries_granted_total"), 1)

    def test_stream_that_never_starts_is_retried_elsewhere(self):
        self.answer(replicas.hang)
        start = time.monotonic()
        reply = ask(self.relay, "/look/x", method="POST", body=b"p")
        self.assertEqual(reply.body, COMPLETE_STREAM)
        self.assertLess(time.monotonic() - start, 1.8)


if __name__ == "__main__":
    unittest.main()
