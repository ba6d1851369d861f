"""A relay is partitioned from the store for some seconds.  Right after the
partition has healed, the entry of a replica that leaves is removed.  Once the
relay is in touch again, it still sends requests to that replica."""

from harness import (BOUNDS, Program, Proxy, Record, ZONES, ask, asyncio,
                     configuration, json, main, new_id, os, platform_replicas,
                     platform_store, route, shutil, tempfile, wait_ready)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEAT_S = 1.2
CALM_S = 4.0
CUT_S = 3.7
REMOVED_AFTER_S = 0.8   # after the partition has healed
EXITS_AFTER_S = 2.9     # after its entry was removed: drain_ms and some more
ASK_INTERVAL_S = 0.05
RUN_S = 5.0             # from the end of the partition
WORK_S = 0.3
WINDOW_S = BOUNDS["stability_window_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000


async def case():
    record = Record(os.path.join(os.path.dirname(__file__), "record.txt"))
    folder = tempfile.mkdtemp(prefix="review-15-")
    store = platform_store.Store()
    await store.start()
    proxy = Proxy(("127.0.0.1", store.port))
    await proxy.start()
    arrivals = []

    async def answer(replica, request, writer):
        request_id = request.headers["request-id"]
        arrivals.append((record.now(), replica.id, request_id))
        record.write("replica %s runs %s", replica.id, request_id)
        await asyncio.sleep(WORK_S)
        return await platform_replicas.answer_normally(replica, request,
                                                       writer)
    replicas = []
    for zone in ZONES:
        replica = platform_replicas.Replica(store, "registry-app", zone,
                                            publish_interval_s=BEAT_S)
        replica.answer = answer
        await replica.start()
        replicas.append(replica)
    rules = configuration(
        3, [route("/issue/", "non_idempotent", "registry-app",
                  max_attempts=1)], {"registry-app": {}})
    await store.write({"op/config": (json.dumps(rules).encode(), 0)})
    relay = Program("relay", "front-1", "manchester",
                    "127.0.0.1:%d" % proxy.port, folder)
    sent = {}

    async def issue():
        request_id = new_id()
        sent[request_id] = record.now()
        record.write("client sends %s", request_id)
        status = (await ask(relay, "/issue/one", method="POST", body=b"x",
                            request_id=request_id))[0]
        record.write("client gets %s for %s", status, request_id)
        return request_id, status
    try:
        await wait_ready([relay])
        await asyncio.sleep(CALM_S)
        proxy.watch_sent.clear()
        await proxy.watch_sent.wait()
        if TROUBLE:
            record.write("the relay is partitioned from the store")
            proxy.cut()
        await asyncio.sleep(CUT_S)
        proxy.heal()
        healed_at = record.now()
        record.write("the partition has healed")
        await asyncio.sleep(REMOVED_AFTER_S)
        leaving = replicas[0]
        leaving.publish_task.cancel()
        await store.write({}, ["servers/" + leaving.id])
        gone_at = record.now()
        record.write("the store has acknowledged that %s is gone", leaving.id)
        tasks = []
        has_exited = False
        while record.now() < healed_at + RUN_S:
            tasks.append(asyncio.ensure_future(issue()))
            await asyncio.sleep(ASK_INTERVAL_S)
            if not has_exited and record.now() > gone_at + EXITS_AFTER_S:
                has_exited = True
                record.write("%s exits", leaving.id)
                leaving.close()
        answers = dict([await task for task in tasks])
    finally:
        relay.end()
        shutil.rmtree(folder)
    late = [request_id for at, replica, request_id in arrivals
            if replica == leaving.id and at > gone_at + DRAIN_S
            and sent[request_id] > healed_at + WINDOW_S]
    lost = [request_id for request_id in late if answers[request_id] != 200]
    text = ("%d of %d requests reached %s later than drain_ms after the store "
            "had acknowledged that it is gone, sent when the relay was in "
            "touch; %d of them were lost as it exited"
            % (len(late), len(sent), leaving.id, len(lost)))
    record.write("%s", text)
    print(text)
    return 1 if late else 0

main(case)
