"""One part of a long prompt crashes each replica that begins to write an answer
on it: the replica sends the head of its answer and is gone, and is back after
some seconds.  Once five replicas have crashed, the relays must keep that part
from the replicas."""

import asyncio
import concurrent.futures
import itertools
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))
os.environ["SISKIN_BUILD"] = os.path.join(ROOT, "target")

import platform_replicas as replicas
from cluster import wait_until
from platform_fixture import Platform, ask

RELAYS = 2
RANKS = 6
DEADLY = "dead1"
SHARED = ["a%d" % i for i in range(5)]  # first parts of all prompts
INTERVAL_S = 0.5  # between deadly requests; two sound ones with each
PLAY_S = 25.0
DOWN_S = 2.0  # of a replica after a crash
STABILITY_WINDOW_S = 3.0  # stability_window_ms of the site
CRASHES_TO_LEARN = 5
MAX_LATE = 3
# Parts between the first one and the one that crashes replicas.
PARTS_BETWEEN = int(os.environ.get("PARTS_BETWEEN", "70"))
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case(Platform):
    def note(self, text):
        self.record.append("%8.3f s  %s" % (time.monotonic() - self.started,
                                            text))

    def start(self):
        self.record = []
        self.started = time.monotonic()
        self.crashes = []  # times
        self.arrivals = []  # of requests with the deadly part
        self.numbers = itertools.count()
        self.sound = []  # (time sent, status, is complete)
        self.store.fields = lambda: []  # no header that the pages lack
        self.configure()
        self.start_group(RANKS)
        for replica in self.replicas:
            replica.answer = self.answer
        self.relays = [self.start_relay("relay-%d" % i)
                       for i in range(RELAYS)]
        for relay in self.relays:
            wait_until(lambda: self.send(relay, SHARED[0])[0] == 200, 10,
                       "service")

    async def answer(self, replica, request, writer):
        if DEADLY not in request.headers["prompt-prefix"]:
            return await replicas.stream()(replica, request, writer)
        self.arrivals.append(time.monotonic())
        self.note("request %s with the part reaches %s" % (
            request.headers["request-id"], replica.id))
        if not IS_TROUBLE:
            return await replicas.stream()(replica, request, writer)
        writer.write(replicas.response_bytes(
            200, b"", replica.stamp(request, [
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked")]), length=False))
        await writer.drain()
        await asyncio.sleep(0.02)
        self.crashes.append(time.monotonic())
        self.note("%s crashes (number %d)" % (replica.id, len(self.crashes)))
        asyncio.ensure_future(replica.crash_for(DOWN_S))
        await asyncio.sleep(3600)

    def send(self, relay, *parts):
        own = 0xffff0000 + next(self.numbers)
        prompt = ",".join("%s:40" % part for part in parts)
        try:
            reply = ask(relay, "/look/x", method="POST", body=b"p",
                        headers=[("Prompt-Prefix", "%s,%x:200" % (prompt,
                                                                  own))])
        except OSError:
            return None, False
        return reply.status, reply.is_complete

    def send_sound(self, relay, part):
        sent_at = time.monotonic()
        self.sound.append((sent_at, *self.send(relay, part)))

    def send_deadly(self, relay, part):
        """Sends a long prompt, whose parts are new but for two."""
        between = ["%x" % (0x5000000 + next(self.numbers))
                   for _ in range(PARTS_BETWEEN)]
        self.send(relay, part, *between, DEADLY)

    def play(self):
        end = time.monotonic() + PLAY_S
        parts = itertools.cycle(SHARED)
        with concurrent.futures.ThreadPoolExecutor(64) as pool:
            for relay in itertools.cycle(self.relays):
                if time.monotonic() >= end:
                    break
                pool.submit(self.send_deadly, relay, next(parts))
                for _ in range(2):
                    pool.submit(self.send_sound, relay, next(parts))
                time.sleep(INTERVAL_S)

    def late_arrivals(self):
        if len(self.crashes) < CRASHES_TO_LEARN:
            return []
        known_at = self.crashes[CRASHES_TO_LEARN - 1] + STABILITY_WINDOW_S
        return [at for at in self.arrivals if at > known_at]


def main():
    case = Case()
    try:
        with case:
            case.start()
            case.play()
    except Exception as error:
        print("the case could not run:", repr(error))
        return 2
    late = len(case.late_arrivals())
    whole = sum(status == 200 and is_complete
                for _, status, is_complete in case.sound)
    text = "%d crashes; %d requests with the part reached replicas, %d of " \
        "them too late; %d of %d sound requests served whole" % (
            len(case.crashes), len(case.arrivals), late, whole,
            len(case.sound))
    with open(os.path.join(HERE, "record.txt"), "w") as stream:
        stream.write("\n".join(case.record + [text]) + "\n")
    print(text)
    return 1 if late > MAX_LATE else 0


if __name__ == "__main__":
    sys.exit(main())
