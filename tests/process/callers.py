"""Callers that send requests in a loop and judge every answer."""

import threading
import time
import uuid

import cluster as processes


REFUSED = object()  # the entry does not listen; nothing was sent


class Result:
    def __init__(self, entry, tag, key, answer):
        self.entry = entry
        self.tag = tag
        self.key = key
        self.answer = answer  # None: the connection broke before an answer


class Callers:
    """COUNT threads over ENTRIES; a with block runs them."""

    def __init__(self, cluster, entries, count=4, tokens=16, path=None,
                 pause_s=0.01):
        self.cluster = cluster
        self.entries = entries
        self.tokens = tokens
        self.path = path  # None: chat, else plain calls with a key
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
            answer = self._send(entry, tag, key)
            if answer is not REFUSED:  # never came to the entry
                with self.lock:
                    self.results.append(Result(entry, tag, key, answer))
            self.is_stopping.wait(self.pause_s)

    def _send(self, entry, tag, key):
        try:
            if key is None:
                return self.cluster.chat(entry, self.tokens, tag)
            return self.cluster.book(entry, key, tag, self.path)
        except ConnectionRefusedError:
            return REFUSED
        except (OSError, processes.http.client.HTTPException):
            return None

    def count(self):
        with self.lock:
            return len(self.results)

    def wait_for(self, more):
        """Wait until MORE further requests have ended."""
        wanted = self.count() + more
        processes.wait_until(lambda: self.count() >= wanted, 60,
                             "%d requests" % wanted)

    def whole(self):
        return [r for r in self.results if self.is_whole(r)]

    def is_whole(self, result):
        """The whole answer, and to the caller's own request."""
        answer = result.answer
        if answer is None or not answer.is_whole:
            return False
        tag = result.tag.encode()
        if self.path:
            return answer.status == 201 and answer.body.count(tag) == 1
        return (answer.status == 200
                and answer.body.count(b"data: {") == self.tokens
                and answer.body.count(tag) == self.tokens
                and answer.body.endswith(b"data: [DONE]\n\n"))

    def misleading(self):
        """Answers that look whole to their caller and are not."""
        return [r for r in self.results
                if r.answer is not None and r.answer.is_whole
                and r.answer.status in (200, 201) and not self.is_whole(r)]

    def cut_off(self):
        """Requests that ended neither whole nor with a refusal."""
        return [r for r in self.results
                if not self.is_whole(r) and (
                    r.answer is None or not r.answer.is_whole
                    or r.answer.outcome != "not-run")]

    def not_run(self):
        return [r for r in self.results
                if r.answer is not None and r.answer.outcome == "not-run"]


    def untrue(self, upstreams):
        """Requests that ran although their caller heard "not run"."""
        users = self._tally(upstreams, "users")
        return [r for r in self.not_run() if users.get(r.tag)]

    def twice(self, upstreams):
        """Requests that ran more than once where once was allowed."""
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
    """An idempotency key, which begins with its time of issue."""
    return time.strftime("%Y%m%dT%H%M%SZ-", time.gmtime()) + uuid.uuid4().hex
