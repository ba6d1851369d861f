"""The store cuts watches that have been waiting for a while.  Replicas leave
one after another: their entries are removed, and they serve on for longer than
drain_ms.  The relay sends them requests for too long."""

from harness import (BOUNDS, Program, Record, ZONES, ask, asyncio,
                     configuration, json, main, new_id, os, platform_replicas,
                     platform_store, route, shutil, tempfile, wait_ready)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WATCH_CUT_S = 0.9        # a watch that has waited for so long is cut
CALM_S = 4.0
LEAVES = 20
LEAVE_AFTER_S = 2.0      # after its successor has been listed
NEXT_AFTER_S = 1.37
ASK_INTERVAL_S = 0.02
DRAIN_S = BOUNDS["drain_ms"] / 1000
NO_BEAT_S = 3600         # an entry changes when more than its sequence does


class Store(platform_store.Store):
    """Cuts watches that wait for longer than WATCH_CUT_S."""

    cuts = 0

    async def handle(self, request, writer):
        if not TROUBLE or request.path != "/api/kv-watch":
            return await super().handle(request, writer)
        answer = asyncio.ensure_future(super().handle(request, writer))
        done, _ = await asyncio.wait({answer}, timeout=WATCH_CUT_S)
        if done:
            return answer.result()
        answer.cancel()
        self.cuts += 1
        writer.transport.abort()
        return False


async def case():
    record = Record(os.path.join(os.path.dirname(__file__), "record.txt"))
    folder = tempfile.mkdtemp(prefix="review-15-")
    store = Store()
    await store.start()
    arrivals = []

    async def answer(replica, request, writer):
        arrivals.append((record.now(), replica.id,
                         request.headers["request-id"]))
        return await platform_replicas.answer_normally(replica, request,
                                                       writer)

    async def add_replica(zone):
        replica = platform_replicas.Replica(store, "registry-app", zone,
                                            publish_interval_s=NO_BEAT_S)
        replica.answer = answer
        await replica.start()
        return replica
    zones = list(ZONES)
    replicas = [await add_replica(zone) for zone in zones]
    rules = configuration(3, [
        route("/lookup/", "idempotent", "registry-app")],
        {"registry-app": {}})
    await store.write({"op/config": (json.dumps(rules).encode(), 0)})
    relay = Program("relay", "front-1", "manchester",
                    "127.0.0.1:%d" % store.port, folder)
    gone = {}

    async def lookup():
        request_id = new_id()
        status = (await ask(relay, "/lookup/one", request_id=request_id))[0]
        record.write("client got %s for %s", status, request_id)

    async def replace_replicas():
        for number in range(LEAVES):
            replicas.append(await add_replica(zones[number % len(zones)]))
            await asyncio.sleep(LEAVE_AFTER_S)
            leaving = replicas.pop(0)
            leaving.publish_task.cancel()
            await store.write({}, ["servers/" + leaving.id])
            gone[leaving.id] = record.now()
            record.write("the store has acknowledged that %s is gone",
                         leaving.id)
            await asyncio.sleep(NEXT_AFTER_S)
        await asyncio.sleep(DRAIN_S + 1)
    try:
        await wait_ready([relay])
        await asyncio.sleep(CALM_S)
        replacing = asyncio.ensure_future(replace_replicas())
        tasks = []
        while not replacing.done():
            tasks.append(asyncio.ensure_future(lookup()))
            await asyncio.sleep(ASK_INTERVAL_S)
        await replacing
        await asyncio.gather(*tasks)
    finally:
        relay.end()
        shutil.rmtree(folder)
    late = [(replica, at - gone[replica]) for at, replica, _ in arrivals
            if replica in gone and at > gone[replica] + DRAIN_S]
    for replica, seconds in late:
        record.write("a request reached %s %.3f s after it was gone", replica,
                     seconds)
    text = ("%d of %d requests reached %d of %d replicas later than drain_ms "
            "after the store had acknowledged that they are gone, up to "
            "%.2f s; %d watches were cut"
            % (len(late), len(arrivals), len({replica for replica, _ in late}),
               len(gone), max([seconds for _, seconds in late], default=0),
               store.cuts))
    record.write("%s", text)
    print(text)
    return 1 if late else 0

main(case)
