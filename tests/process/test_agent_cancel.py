"""An entry that cancels a request at its deadline waits for the agent to tell
what became of it."""

import os
import socket
import struct
import unittest

from cluster import Cluster

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "samples")
PROTOCOL_VERSION = 1
ENTRY_ROLE = 0
HELLO, SUBMIT, REFUSE, CANCEL = 1, 3, 8, 9
INCARNATION, SEQUENCE = 7, 1
DEADLINE_MS = 60000  # longer than this test
FIRST_TOKEN_MS = 60000
TIMEOUT_S = 10
ARRAY_16 = 0xdc


def pack(value):
    """Returns VALUE in MessagePack."""
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return struct.pack(">BQ", 0xcf, value)
    if isinstance(value, str):
        return struct.pack(">BH", 0xda, len(value)) + value.encode()
    return struct.pack(">BI", 0xc6, len(value)) + value


class FakeEntry:
    """Speaks as much of the protocol as a request needs."""

    def __init__(self, port):
        self.peer = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
        self.stream = self.peer.makefile("rb")
        self.send(HELLO, PROTOCOL_VERSION, ENTRY_ROLE, "entry-1", "z")

    def close(self):
        self.stream.close()
        self.peer.close()

    def send(self, frame_type, *body):
        fields = [PROTOCOL_VERSION, frame_type, INCARNATION, 0, 0, 0, 0, 0,
                  INCARNATION, SEQUENCE, *body]
        payload = struct.pack(">BH", ARRAY_16, len(fields)) + b"".join(
            pack(field) for field in fields)
        self.peer.sendall(struct.pack(">I", len(payload)) + payload)

    def receive_type(self):
        """Returns the type of the next frame, the second item of an array."""
        size, = struct.unpack(">I", self.stream.read(4))
        payload = self.stream.read(size)
        return payload[4] if payload[0] == ARRAY_16 else payload[2]

    def wait_for(self, frame_type):
        while self.receive_type() != frame_type:
            pass


class AgentCancelTest(unittest.TestCase):
    def test_agent_answers_a_cancelled_request(self):
        with Cluster(SAMPLES + "/maracas/rules.toml") as cluster:
            cluster.start_store()
            cluster.start_upstream("style-0", Cluster.ZONES[0], "model",
                                   "style", "style-assistant")
            cluster.apply()
            cluster.wait_for_settings(["style-0"], 1)
            cluster.control("style-0", "first_ms=%d" % FIRST_TOKEN_MS)
            entry = FakeEntry(cluster.ports["style-0-agent"])
            self.addCleanup(entry.close)
            entry.wait_for(HELLO)
            entry.send(SUBMIT, "style-app", "style", "POST",
                       "/v1/chat/completions", "application/json", "",
                       DEADLINE_MS, 10, 10, True, b"{}")
            entry.send(CANCEL)
            entry.wait_for(REFUSE)


if __name__ == "__main__":
    unittest.main()
