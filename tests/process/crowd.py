"""Many clients at once that keep their connections open, and what a process
uses meanwhile."""

import concurrent.futures
import os
import socket
import time

import cluster

MEMORY_MB = 64
LIMITS = "\n[limits]\nmemory_mb = %d\n" % MEMORY_MB
MAX_FILES = 400
MAX_OPEN_FILES = 360  # some are kept for the process's own use
THREADS = 32
SEND_TIMEOUT_S = 10
SETTLE_TIMEOUT_S = 60
QUIET_S = 0.5
QUIET_CPU_TICKS = 3
CPU_TIMES = slice(11, 13)  # of the fields after the program's name


class Watch:
    """Resource use of a process; the descriptors are those open at the
    checks."""

    def __init__(self, program):
        self.program = program
        self.pid = program.process.pid

    def cpu_ticks(self):
        with open("/proc/%d/stat" % self.pid) as stat:
            fields = stat.read().rsplit(") ", 1)[1].split()
        return sum(map(int, fields[CPU_TIMES]))

    def open_files(self):
        return len(os.listdir("/proc/%d/fd" % self.pid))

    def peak_memory_mb(self):
        with open("/proc/%d/status" % self.pid) as status:
            return next(int(line.split()[1]) for line in status
                        if line.startswith("VmHWM:")) / 1024

    def settle(self):
        """Waits until the process has handled what it has received."""
        end = time.monotonic() + SETTLE_TIMEOUT_S
        last = self.cpu_ticks()
        while time.monotonic() < end:
            time.sleep(QUIET_S)
            ticks = self.cpu_ticks()
            if ticks - last <= QUIET_CPU_TICKS:
                return
            last = ticks

    def check(self, test):
        test.assertIsNone(self.program.process.poll(), "the process ended")
        used_mb, files = self.peak_memory_mb(), self.open_files()
        print("%s: peak %.1f MB, %d descriptors" % (
            test.id(), used_mb, files), flush=True)
        test.assertLess(used_mb, MEMORY_MB)
        test.assertLess(files, MAX_OPEN_FILES)


class Crowd:
    """SIZE connections to PORT, on which all send the same bytes."""

    def __init__(self, port, size):
        self.port = port
        self.size = size
        self.sockets = []

    def __enter__(self):
        for _ in range(self.size):
            try:
                self.sockets.append(socket.create_connection(
                    ("127.0.0.1", self.port), timeout=SEND_TIMEOUT_S))
            except OSError:
                pass
        return self

    def __exit__(self, *_):
        for client in self.sockets:
            client.close()

    def send(self, *parts):
        """Each client sends PARTS one after the other, unless it is cut
        off."""
        def send_one(client):
            try:
                for part in parts:
                    client.sendall(part)
            except OSError:
                pass
        with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
            list(pool.map(send_one, self.sockets))


def chunks(total, size):
    """Returns TOTAL bytes in chunks of SIZE, without the last chunk."""
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    return chunk * (total // size)


def post(path, fields, length=None):
    """Returns the head of a request with a body of LENGTH, or chunked."""
    framing = ("Transfer-Encoding: chunked" if length is None
               else "Content-Length: %d" % length)
    lines = ["POST %s HTTP/1.1" % path, framing] + [
        "%s: %s" % field for field in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def bodies(path, fields, limit):
    """Returns by name what clients send that exceed a process's limits with
    request bodies: the heads and bodies that stop short of LIMIT, and what
    follows, if anything."""
    short = limit - 10
    far = 400 * 1024 * 1024
    return {
        "by length": (post(path, fields, limit), b"x" * short, b""),
        "large chunks": (post(path, fields), chunks(short, 32 * 1024), b""),
        "chunks of one byte": (post(path, fields), chunks(short, 1), b""),
        "far too large, declared": (post(path, fields, far), b"x" * short,
                                    b"x" * (4 * limit)),
        "far too large, simply sent": (
            post(path, fields), chunks(short, 32 * 1024),
            chunks(4 * limit, 32 * 1024)),
    }


def scrape(port):
    """Returns the status of the metrics page."""
    return cluster.Cluster.raw("GET", port, "/metrics")[0]
