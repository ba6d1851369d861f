"""Callers that send requests in a loop and check every response."""

import threading
import time
import uuid

import cluster as cluster_module


REFUSED = object()  # the entry does not listen, so nothing was sent


class Result:
    def __init__(self, entry, tag, key, response):
        self.entry = entry
        self.tag = tag  # "user" of the request, repeated in its response
        self.key = key
        self.response = response  # None: disconnected before a response


class Callers:
    """Runs COUNT threads, spread over ENTRIES, within a with block."""

    def __init__(self, cluster, entries, count=4, tokens=16, path=None,
                 pause_s=0.01):
        self.cluster = cluster
        self.entries = entries
        self.tokens = tokens
        self.path = path  # None: chats, else requests with a key
        self.pause_s = pause_s
        self.results = []
        self.lock = threading.Lock()
        self.is_stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(i,), daemon=True)
            for i in range(count)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, kind, value, trace):
        self.stop()

    def stop(self):
        self.is_stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, index):
        while not self.is_stopping.is_set():
            tag = uuid.uuid4().hex
            entry = self.entries[index % len(self.entries)]
            key = new_key() if self.path else None
            response = self._send(entry, tag, key)
            if response is not REFUSED:
                with self.lock:
                    self.results.append(Result(entry, tag, key, response))
            self.is_stopping.wait(self.pause_s)

    def _send(self, entry, tag, key):
        try:
            if key is None:
                return self.cluster.chat(entry, self.tokens, tag)
            return self.cluster.book(entry, key, tag, self.path)
        except ConnectionRefusedError:
            return REFUSED
        except (OSError, cluster_module.http.client.HTTPException):
            return None

    def count(self):
        with self.lock:
            return len(self.results)

    def wait_for(self, additional):
        """Waits until ADDITIONAL more requests have ended."""
        target_count = self.count() + additional
        cluster_module.wait_until(lambda: self.count() >= target_count, 60,
                                  "%d requests" % target_count)

    def complete(self):
        return [r for r in self.results if self.is_complete(r)]

    def is_complete(self, result):
        """Whether the response is complete and the caller's own."""
        response = result.response
        if response is None or not response.is_complete:
            return False
        tag = result.tag.encode()
        if self.path:
            return response.status == 201 and response.body.count(tag) == 1
        return (response.status == 200
                and response.body.count(b"data: {") == self.tokens
                and response.body.count(tag) == self.tokens
                and response.body.endswith(b"data: [DONE]\n\n"))

    def corrupted(self):
        """Successful responses that end normally with wrong content."""
        return [r for r in self.results
                if r.response is not None and r.response.is_complete
                and r.response.status in (200, 201)
                and not self.is_complete(r)]

    def interrupted(self):
        """Requests without a complete response or a "not-run" refusal."""
        return [r for r in self.results
                if not self.is_complete(r) and (
                    r.response is None or not r.response.is_complete
                    or r.response.outcome != "not-run")]

    def not_run(self):
        return [r for r in self.results
                if r.response is not None and r.response.outcome == "not-run"]

    def wrongly_refused(self, upstreams):
        """Requests that ran although the response was "not-run"."""
        users = self._tally(upstreams, "users")
        return [r for r in self.not_run() if users.get(r.tag)]

    def duplicated(self, upstreams):
        """Requests with a key that ran more than once."""
        keys = self._tally(upstreams, "keys")
        return [r for r in self.results
                if r.key is not None and keys.get(r.key, 0) > 1]

    def _tally(self, upstreams, part):
        totals = {}
        for name in upstreams:
            for item, count in self.cluster.control(name)[part].items():
                totals[item] = totals.get(item, 0) + count
        return totals


def new_key():
    """Returns an idempotency key, which starts with the current time."""
    return time.strftime("%Y%m%dT%H%M%SZ-", time.gmtime()) + uuid.uuid4().hex
