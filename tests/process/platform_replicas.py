"""Stand-ins for the platform's replicas, which run requests, and their
failures."""

import asyncio
import itertools
import json
import time

from platform_store import read_request, response_bytes

STREAM_PIECES = 6
MS_PER_S = 1000
EVENT_GAP_S = 0.02  # before a crash


class Replica:
    """Serves requests.  `answer` may be replaced by a coroutine function of
    (replica, request, writer) that returns whether to keep the connection."""

    numbers = itertools.count(1)

    def __init__(self, store, service, zone, slots=6, publish_interval_s=0.3):
        self.store = store
        self.service = service
        self.zone = zone
        self.slots = slots
        self.publish_interval_s = publish_interval_s
        self.id = "i-%d" % next(self.numbers)
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * MS_PER_S)  # start time, in ms
        self.cold_left_ms = 0
        self.runs = []  # requests whose processing started
        self.misdirected = 0
        self.answer = answer_normally
        self.group = None  # of model engines only
        self.writers = set()
        self.aborted_requests = []  # ids; the connection closed early

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.publish()
        self.publish_task = asyncio.ensure_future(self.publish_periodically())

    def address(self):
        return "127.0.0.1:%d" % self.port

    async def publish(self):
        self.sequence += 1
        await self.store.write(
            {"servers/" + self.id: (json.dumps(self.listing()).encode(), 0)})

    def listing(self):
        return {"service": self.service, "address": self.address(),
                "zone": self.zone, "version": "1", "slots": self.slots,
                "state": self.state, "cold_left_ms": self.cold_left_ms,
                "sequence": self.sequence, "born": self.born}

    async def publish_periodically(self):
        while True:
            await asyncio.sleep(self.publish_interval_s)
            await self.publish()

    def close(self):
        self.publish_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def crash(self):
        """Stops serving without removing its store entry."""
        self.close()

    async def crash_for(self, seconds):
        """Crashes and starts again as another upstream at the same
        address."""
        await self.crash()
        await asyncio.sleep(seconds)
        self.id = "i-%d" % next(self.numbers)
        self.born = int(time.time() * MS_PER_S)
        await self.start(self.port)

    def start_again(self):
        """Starts again under the same id, after it had drained."""
        self.state = "ready"
        self.born = max(int(time.time() * MS_PER_S), self.born + 1)
        self.sequence = 0

    async def leave(self):
        await self.crash()
        await self.store.write({}, ["servers/" + self.id])

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                if not await self.handle(request, reader, writer):
                    break
        except ConnectionError:
            pass
        self.writers.discard(writer)
        writer.close()

    async def handle(self, request, reader, writer):
        if request.path.startswith("/api/"):
            status, body = self.group.call(self, request)
            if status is None:
                await asyncio.sleep(3600)  # no response
            writer.write(response_bytes(status, json.dumps(body).encode()))
            return True
        if request.headers.get("expect-replica") != self.id:
            self.misdirected += 1
            writer.write(response_bytes(421, fields=[("Replica-Id", self.id)]))
            return True
        self.runs.append(request)
        answer_task = asyncio.ensure_future(self.answer(self, request, writer))
        disconnect_task = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({answer_task, disconnect_task},
                           return_when=asyncio.FIRST_COMPLETED)
        is_answered = answer_task.done()
        # Clients send no request before the response ends, so that reading
        # returns only when the connection closes.
        (disconnect_task if is_answered else answer_task).cancel()
        results = await asyncio.gather(answer_task, disconnect_task,
                                       return_exceptions=True)
        if is_answered:
            return results[0] is True
        self.aborted_requests.append(request.headers["request-id"])
        return False

    def stamp(self, request, more_fields=()):
        return [("Request-Id", request.headers["request-id"]),
                ("Response-Stamp", "stamp-of-" + self.id),
                ("Replica-Load", "%d,0,%d" % (len(self.runs), self.slots)),
                *more_fields]


def odd_listings(replica):
    """Returns listings by name that look like one of REPLICA and name no
    replica that can be used; the one named "last" can't be parsed."""
    nested = b"[" * 5000 + b"]" * 5000
    fields = {
        "deep": ("version", b"[" * 2000 + b"]" * 2000),
        "deeper": ("version", nested),
        "number": ("slots", b"1" + b"0" * 400),
        "slots": ("slots", b"9223372036854775807"),
        "negative": ("slots", b"-1"),
        "real": ("cold_left_ms", b"1e308"),
        "cold": ("cold_left_ms", b"9223372036854775807"),
        "past": ("cold_left_ms", b"-1e300"),
        "born": ("born", b"1e300"),
        "sequence": ("sequence", b"true"),
        "port": ("address", b'"127.0.0.1:99999"'),
        "no-port": ("address", b'"127.0.0.1:0"'),
        "signed-port": ("address", b'"127.0.0.1:-18446744073709551535"'),
        "spaced-port": ("address", b'"127.0.0.1: 81"'),
        "any-host": ("address", b'"0.0.0.0:81"'),
        "no-address": ("address", b"{}"),
        "service": ("service", b"null"),
        "unknown-service": ("service", b'"nobody"')}
    listings = {}
    for name, (field, value) in fields.items():
        text = json.dumps(dict(replica.listing(), **{field: "@"})).encode()
        listings["odd-" + name] = text.replace(b'"@"', value)
    listings["last"] = b"\xff{"
    return listings


async def answer_normally(replica, request, writer):
    body = ("%s ran %s" % (replica.id, request.target)).encode()
    writer.write(response_bytes(200, body, replica.stamp(request)))
    await writer.drain()
    return True


def event(number):
    return ("id: %d\ndata: piece-%d\n\n" % (number, number)).encode()


def stream(pieces=STREAM_PIECES, gap_s=0.02, stop_after=None, then="close",
           starts_over=False):
    """Streams PIECES events, numbered from 1.  Starts after Last-Event-Id
    unless `starts_over`.  After the event `stop_after` it closes the
    connection or hangs, as `then` says."""
    async def answer(replica, request, writer):
        first = 1 if starts_over else \
            int(request.headers.get("last-event-id", 0)) + 1
        writer.write(response_bytes(
            200, b"", replica.stamp(request, [
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked")]), length=False))
        for number in range(first, pieces + 1):
            chunk = event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
            await writer.drain()
            if number == stop_after:
                if then == "hang":
                    await asyncio.sleep(3600)
                writer.transport.abort()
                return False
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
    return answer


def stream_unless_deadly(segment, down_s=1.0, events=0, sound=None):
    """Streams, but crashes as it begins to answer a prompt with SEGMENT,
    after so many events.  SOUND answers the others."""
    async def answer(replica, request, writer):
        if segment not in request.headers.get("prompt-prefix", ""):
            return await (sound or stream())(replica, request, writer)
        writer.write(response_bytes(
            200, b"", replica.stamp(request, [
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked")]), length=False))
        for number in range(1, events + 1):
            chunk = event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        await writer.drain()
        asyncio.ensure_future(replica.crash_for(down_s))
        await asyncio.sleep(3600)
    return answer


def name_rate_limit(per_s):
    """Streams, and names a rate limit in each response."""
    async def answer(replica, request, writer):
        writer.write(response_bytes(
            200, b"", replica.stamp(request, [
                ("Content-Type", "text/event-stream"),
                ("Server-Limit", "%g" % per_s)]) + [
                    ("Transfer-Encoding", "chunked")], length=False))
        chunk = event(1)
        writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(chunk), chunk))
        await writer.drain()
        return True
    return answer


def fail(status, fields=(), stamped=True, body=b"no"):
    async def answer(replica, request, writer):
        stamp_fields = replica.stamp(request) if stamped else []
        writer.write(response_bytes(status, body, [*stamp_fields, *fields]))
        await writer.drain()
        return True
    return answer


class StatusWriter:
    """Passes bytes on to a writer, with other text as the status of the
    response."""

    def __init__(self, writer, status):
        self.writer = writer
        self.status = status

    def __getattr__(self, name):
        return getattr(self.writer, name)

    def write(self, data):
        self.writer.write(data.replace(b"HTTP/1.1 200 ",
                                       b"HTTP/1.1 " + self.status + b" "))


def with_status(status, answer=answer_normally):
    """Answers as ANSWER does, but with the text STATUS as the status."""
    async def answer_with_status(replica, request, writer):
        return await answer(replica, request, StatusWriter(writer, status))
    return answer_with_status


async def decline(replica, request, writer):
    replica.runs.remove(request)
    writer.write(response_bytes(503, b"", [("Not-Run", "1")]))
    await writer.drain()
    return True


def refuse_once_more(has_id):
    """Refuses the very first request, and answers the first one of each
    connection.  To later ones, which run, it writes that refusal again."""
    refusals = []

    async def answer(replica, request, writer):
        if not refusals:
            replica.runs.remove(request)
            fields = [("Not-Run", "1"), ("Retry-After", "0.1")]
            if has_id:
                fields.append(("Request-Id", request.headers["request-id"]))
            refusals.append(response_bytes(503, b"", fields))
        elif not hasattr(writer, "is_used"):
            writer.is_used = True
            return await answer_normally(replica, request, writer)
        writer.write(refusals[0])
        await writer.drain()
        return True
    return answer


async def refuse_another_request(replica, request, writer):
    writer.write(response_bytes(503, b"", [("Request-Id", "another"),
                                           ("Not-Run", "1")]))
    await writer.drain()
    return True


def reject_version(names_itself):
    """Rejects requests that expect other weights, as another replica at this
    address would, and answers all others."""
    async def answer(replica, request, writer):
        if "expect-version" not in request.headers:
            return await answer_normally(replica, request, writer)
        replica.runs.remove(request)
        writer.write(response_bytes(421, fields=[
            ("Request-Id", request.headers["request-id"]),
            *([("Replica-Id", replica.id)] if names_itself else [])]))
        await writer.drain()
        return True
    return answer


async def reset(replica, request, writer):
    writer.transport.abort()
    return False


async def hang(replica, request, writer):
    await asyncio.sleep(3600)
    return False


async def truncate_response(replica, request, writer):
    response = response_bytes(200, b"x" * 100, replica.stamp(request))
    writer.write(response[:-60])
    await writer.drain()
    return False


async def garbage(replica, request, writer):
    writer.write(b"\x00\x01this is no answer\r\n\r\n")
    await writer.drain()
    return False


async def answer_twice(replica, request, writer):
    await answer_normally(replica, request, writer)
    writer.write(response_bytes(200, b"late answer of nobody", [
        ("Request-Id", "another"), ("Response-Stamp", "stale")]))
    await writer.drain()
    return True


async def answer_another_request(replica, request, writer):
    writer.write(response_bytes(200, b"of another request", [
        ("Request-Id", "another"), ("Response-Stamp", "stale")]))
    await writer.drain()
    return True


def slow(seconds):
    async def answer(replica, request, writer):
        await asyncio.sleep(seconds)
        return await answer_normally(replica, request, writer)
    return answer
