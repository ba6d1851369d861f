"""Connections that are cut while a zone leaves, and in mid-answer."""

import time
import unittest

from failures import (BOOKINGS, ENTRIES, STYLES, ZONES, FailureTest)
from tcp_proxy import TcpProxy

SHORT_CUT_S = 1


class CutTest(FailureTest):
    def relay(self, target):
        relay = TcpProxy(target)
        self.addCleanup(relay.close)
        return relay

    def leave_while_cut(self, relays):
        leaving = [STYLES[1], BOOKINGS[1]]
        with self.chats() as chats, self.bookings() as bookings:
            chats.wait_for(20)
            bookings.wait_for(20)
            for relay in relays:
                relay.cut()
            started = self.change("zone", "out", ZONES[1])
            self.check_no_new_work(leaving, started)
            for relay in relays:
                relay.restore()
        self.check_truth(chats, bookings)
        self.check_none_cut_off(chats, bookings)


class EntryFromStoreTest(CutTest):
    def prepare(self):
        self.store = self.relay(self.cluster.ports["store"])
        self.entry_stores = {ENTRIES[0]: self.store.url()}

    def test_zone_leaves(self):
        self.leave_while_cut([self.store])


class AgentFromStoreTest(CutTest):
    def prepare(self):
        self.store = self.relay(self.cluster.ports["store"])
        self.agent_stores = {STYLES[1]: self.store.url(),
                             BOOKINGS[1]: self.store.url()}

    def test_zone_leaves(self):
        self.leave_while_cut([self.store])


class EntryFromAgentTest(CutTest):
    def prepare(self):
        self.links = []
        self.relays = {STYLES[1]: self.connect}

    def connect(self, port):
        self.links.append(self.relay(port))
        return self.links[-1].port

    def test_zone_leaves(self):
        self.leave_while_cut(self.links)

    def test_short_cut_in_mid_answer(self):
        """Answers wait for the connection and come whole."""
        self.cluster.control(STYLES[1], "token_ms=50")
        with self.chats() as chats:
            chats.wait_for(20)
            self.links[0].cut()
            time.sleep(SHORT_CUT_S)
            self.links[0].restore()
            chats.wait_for(20)
        self.check_truth(chats)
        self.check_none_cut_off(chats)


if __name__ == "__main__":
    unittest.main()
