"""Stand-ins for the platform's replicas: what runs a request, and what it
does wrong."""

import asyncio
import itertools
import json
import time

from platform_store import answer_bytes, read_request

STREAM_PIECES = 6
MS_PER_S = 1000


class Replica:
    """Answers requests.  `answer` may be replaced by a coroutine function of
    (replica, request, writer) that returns whether the connection goes on."""

    numbers = itertools.count(1)

    def __init__(self, store, service, zone, slots=6, beat_s=0.3):
        self.store = store
        self.service = service
        self.zone = zone
        self.slots = slots
        self.beat_s = beat_s
        self.id = "i-%d" % next(self.numbers)
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * MS_PER_S)
        self.cold_left_ms = 0
        self.runs = []  # requests that it began to work on
        self.misdirected = 0
        self.answer = answer_whole
        self.group = None  # engines only
        self.writers = set()
        self.broken_off = []  # ids of requests whose channel closed early

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.beat()
        self.beating = asyncio.ensure_future(self.keep_beating())

    def address(self):
        return "127.0.0.1:%d" % self.port

    async def beat(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address(),
                 "zone": self.zone, "version": "1", "slots": self.slots,
                 "state": self.state, "cold_left_ms": self.cold_left_ms,
                 "sequence": self.sequence, "born": self.born}
        await self.store.write(
            {"servers/" + self.id: (json.dumps(entry).encode(), 0)})

    async def keep_beating(self):
        while True:
            await asyncio.sleep(self.beat_s)
            await self.beat()

    def close(self):
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def crash(self):
        """It is gone; its entry is left behind."""
        self.close()

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
                await asyncio.sleep(3600)  # no answer
            writer.write(answer_bytes(status, json.dumps(body).encode()))
            return True
        if request.headers.get("expect-replica") != self.id:
            self.misdirected += 1
            writer.write(answer_bytes(421))
            return True
        self.runs.append(request)
        work = asyncio.ensure_future(self.answer(self, request, writer))
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        is_done = work.done()
        # No request comes before the answer's end.
        (gone if is_done else work).cancel()
        results = await asyncio.gather(work, gone, return_exceptions=True)
        if is_done:
            return results[0] is True
        self.broken_off.append(request.headers["request-id"])
        return False

    def stamp(self, request, extra=()):
        return [("Request-Id", request.headers["request-id"]),
                ("Response-Stamp", "stamp-of-" + self.id),
                ("Replica-Load", "%d,0,%d" % (len(self.runs), self.slots)),
                *extra]


async def answer_whole(replica, request, writer):
    body = ("%s ran %s" % (replica.id, request.target)).encode()
    writer.write(answer_bytes(200, body, replica.stamp(request)))
    await writer.drain()
    return True


def event(number):
    return ("id: %d\ndata: piece-%d\n\n" % (number, number)).encode()


def stream(pieces=STREAM_PIECES, gap_s=0.02, stop_after=None, then="close",
           starts_over=False):
    """A stream whose events are numbered from 1, from Last-Event-Id on unless
    it starts over.  It may stop after an event: then "close" or "hang"."""
    async def answer(replica, request, writer):
        first = 1 if starts_over else \
            int(request.headers.get("last-event-id", 0)) + 1
        writer.write(answer_bytes(
            200, b"", replica.stamp(request, [
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked")]), length=False))
        for number in range(first, pieces + 1):
            bytes_ = event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(bytes_), bytes_))
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


def fail(status, fields=(), stamped=True, body=b"no"):
    async def answer(replica, request, writer):
        own = replica.stamp(request) if stamped else []
        writer.write(answer_bytes(status, body, [*own, *fields]))
        await writer.drain()
        return True
    return answer


async def decline(replica, request, writer):
    replica.runs.remove(request)
    writer.write(answer_bytes(503, b"", [("Not-Run", "1")]))
    await writer.drain()
    return True


async def reset(replica, request, writer):
    writer.transport.abort()
    return False


async def hang(replica, request, writer):
    await asyncio.sleep(3600)
    return False


async def cut_short(replica, request, writer):
    whole = answer_bytes(200, b"x" * 100, replica.stamp(request))
    writer.write(whole[:-60])
    await writer.drain()
    return False


async def garbage(replica, request, writer):
    writer.write(b"\x00\x01this is no answer\r\n\r\n")
    await writer.drain()
    return False


async def answer_twice(replica, request, writer):
    await answer_whole(replica, request, writer)
    writer.write(answer_bytes(200, b"late answer of nobody", [
        ("Request-Id", "another"), ("Response-Stamp", "stale")]))
    await writer.drain()
    return True


async def answer_foreign(replica, request, writer):
    writer.write(answer_bytes(200, b"of another request", [
        ("Request-Id", "another"), ("Response-Stamp", "stale")]))
    await writer.drain()
    return True


def slow(seconds):
    async def answer(replica, request, writer):
        await asyncio.sleep(seconds)
        return await answer_whole(replica, request, writer)
    return answer
