"""An agent disconnects peers that send invalid frames, and keeps serving."""

import random
import socket
import struct
import unittest

from cluster import wait_until
from failures import ENTRIES, STYLES, FailureTest

SEED = 20260301
ROUNDS = 40
SOCKET_TIMEOUT_S = 20
HUGE_ARRAY = b"\xdd\xff\xff\xff\xff"


class BadPeerTest(FailureTest):
    def send(self, data):
        """Sends DATA to an agent and returns when the agent disconnects."""
        port = self.cluster.ports[STYLES[0] + "-agent"]
        with socket.create_connection(
                ("127.0.0.1", port), timeout=SOCKET_TIMEOUT_S) as peer:
            try:
                peer.sendall(data)
                while peer.recv(65536):
                    pass
            except ConnectionError:
                pass

    def test_invalid_frames(self):
        generator = random.Random(SEED)
        invalid_data = [b"\xff\xff\xff\xff", b"\x00\x00\x00\x00",
                    struct.pack(">I", len(HUGE_ARRAY)) + HUGE_ARRAY,
                    b"GET / HTTP/1.1\r\n\r\n"]
        for _ in range(ROUNDS):
            body = generator.randbytes(generator.randrange(1, 300))
            invalid_data.append(struct.pack(">I", len(body)) + body)
        for data in invalid_data:
            self.send(data)
        wait_until(lambda: self.cluster.metrics(STYLES[0])[
            "siskin_bad_peers_total"] >= len(invalid_data), 20,
            "all to be counted")
        response = self.cluster.chat(ENTRIES[0], tag="after")
        self.assertEqual((response.status, response.is_complete), (200, True))

    def test_silent_peer(self):
        """A peer that connects and sends nothing is disconnected."""
        self.send(b"")


if __name__ == "__main__":
    unittest.main()
