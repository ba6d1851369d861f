"""Callers and peers that exceed the limits of an entry, an agent or a pilot
together: none may grow beyond its memory or run out of descriptors, and each
must serve others."""

import os
import struct
import unittest

import crowd
from cluster import Cluster, wait_until
from platform_fixture import Platform

RULES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                     "samples", "maracas", "rules.toml")
ZONE = Cluster.ZONES[0]
BODY_BYTES = 2 * 1024 * 1024  # the largest that an entry accepts
FRAME_BYTES = 4 * 1024 * 1024  # the largest
CLIENTS = 60
PEERS = 30
SILENT_CLIENTS = 500
SERVED_TIMEOUT_S = 20
FIELDS = {"Host": "entry", "Siskin-Account": "style-app"}
# Version, type, incarnation, revision, age, sent, echo, settled and request id
# of a hello, then version, role (entry), name and zone.
HELLO = bytes([0x9e, 1, 1, 7, 0, 0, 1, 0, 1, 0, 0, 1, 0, 0xa1, 0x78, 0xa1,
               0x7a])
PARTIAL_FRAME = struct.pack(">I", FRAME_BYTES) + b"\xdc" * (FRAME_BYTES - 10)


class EntryAndAgentMemoryTest(unittest.TestCase):
    def setUp(self):
        self.cluster = cluster = Cluster(RULES)
        self.addCleanup(cluster.__exit__, None, None, None)
        options = {"settings": crowd.LIMITS, "max_files": crowd.MAX_FILES}
        cluster.start_store()
        cluster.start_standin("style-0")
        port = cluster.start_agent("style-0", ZONE, **options)
        cluster.inventory.append(
            "style-0,127.0.0.1:%d,%s,model,style,style-assistant,," % (
                port, ZONE))
        cluster.apply()
        cluster.start_entry("entry-0", ZONE, **options)
        cluster.wait_for_settings(["entry-0", "style-0"], 1)
        cluster.wait_for_links(["entry-0"], ["style-0"])
        self.assert_served()

    def assert_served(self):
        wait_until(lambda: self.cluster.chat("entry-0").status == 200,
                   SERVED_TIMEOUT_S, "service")

    def check(self, name):
        watch = crowd.Watch(self.cluster.programs[name])
        watch.settle()
        watch.check(self)
        self.assert_served()

    def test_bodies_to_an_entry(self):
        cases = crowd.bodies("/v1/chat/completions", FIELDS, BODY_BYTES)
        for name in ("by length", "large chunks", "far too large, declared",
                     "far too large, simply sent"):
            head, body, rest = cases[name]
            with crowd.Crowd(self.cluster.ports["entry-0"],
                             CLIENTS) as clients:
                clients.send(head, body)
                crowd.Watch(self.cluster.programs["entry-0"]).settle()
                clients.send(rest)
                self.check("entry-0")

    def test_silent_connections_to_an_entry(self):
        for port in ("entry-0", "entry-0-admin"):
            with crowd.Crowd(self.cluster.ports[port], SILENT_CLIENTS):
                self.check("entry-0")

    def test_partial_frames_to_an_agent(self):
        """Peers that send all but the end of a frame of the largest size."""
        with crowd.Crowd(self.cluster.ports["style-0-agent"],
                         PEERS) as clients:
            clients.send(PARTIAL_FRAME)
            self.check("style-0-agent")

    def test_partial_frames_of_known_peers_to_an_agent(self):
        with crowd.Crowd(self.cluster.ports["style-0-agent"],
                         PEERS) as clients:
            clients.send(struct.pack(">I", len(HELLO)) + HELLO, PARTIAL_FRAME)
            self.check("style-0-agent")

    def test_silent_connections_to_an_agent(self):
        for port in ("style-0-agent", "style-0-admin"):
            with crowd.Crowd(self.cluster.ports[port], SILENT_CLIENTS):
                self.check("style-0-agent")


class PilotMemoryTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure()
        self.pilot = self.platform.start_group(
            1, settings=crowd.LIMITS, max_files=crowd.MAX_FILES)[0]

    def check(self):
        watch = crowd.Watch(self.pilot)
        watch.settle()
        watch.check(self)
        self.assertEqual(crowd.scrape(self.pilot.admin_port), 200)

    def test_partial_frames(self):
        with crowd.Crowd(self.pilot.frame_port, PEERS) as clients:
            clients.send(PARTIAL_FRAME)
            self.check()

    def test_partial_frames_of_known_peers(self):
        with crowd.Crowd(self.pilot.frame_port, PEERS) as clients:
            clients.send(struct.pack(">I", len(HELLO)) + HELLO, PARTIAL_FRAME)
            self.check()

    def test_silent_connections(self):
        for port in (self.pilot.frame_port, self.pilot.admin_port):
            with crowd.Crowd(port, SILENT_CLIENTS):
                self.check()


if __name__ == "__main__":
    unittest.main()
