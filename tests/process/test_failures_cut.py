"""Network partitions while a zone is taken out, and during responses.

A process that cannot reach the store or its peers must learn of the change in
time all the same, and no caller may get a truncated or wrong response.
"""

import time
import unittest

from failures import (BOOKINGS, ENTRIES, STYLES, ZONES, FailureTest)
from tcp_proxy import TcpProxy

PARTITION_S = 1


class CutTest(FailureTest):
    def start_proxy(self, port):
        proxy = TcpProxy(port)
        self.addCleanup(proxy.close)
        return proxy

    def check_zone_out_while_cut(self, proxies):
        leaving = [STYLES[1], BOOKINGS[1]]
        with self.chats() as chats, self.bookings() as bookings:
            chats.wait_for(20)
            bookings.wait_for(20)
            for proxy in proxies:
                proxy.cut()
            started = self.change("zone", "out", ZONES[1])
            self.check_no_new_requests(leaving, started)
            for proxy in proxies:
                proxy.restore()
        self.check_responses(chats, bookings)
        self.check_none_interrupted(chats, bookings)


class EntryToStoreTest(CutTest):
    def prepare(self):
        self.store_proxy = self.start_proxy(self.cluster.ports["store"])
        self.entry_store_urls = {ENTRIES[0]: self.store_proxy.url()}

    def test_zone_is_taken_out(self):
        self.check_zone_out_while_cut([self.store_proxy])


class AgentToStoreTest(CutTest):
    def prepare(self):
        self.store_proxy = self.start_proxy(self.cluster.ports["store"])
        self.agent_store_urls = {STYLES[1]: self.store_proxy.url(),
                                 BOOKINGS[1]: self.store_proxy.url()}

    def test_zone_is_taken_out(self):
        self.check_zone_out_while_cut([self.store_proxy])


class EntryToAgentTest(CutTest):
    def prepare(self):
        self.proxies = []
        self.agent_proxies = {STYLES[1]: self.start_agent_proxy}

    def start_agent_proxy(self, port):
        self.proxies.append(self.start_proxy(port))
        return self.proxies[-1].port

    def test_zone_is_taken_out(self):
        self.check_zone_out_while_cut(self.proxies)

    def test_short_partition_delays_responses(self):
        """Responses stall until the connection is back, and are complete."""
        self.cluster.control(STYLES[1], "token_ms=50")
        with self.chats() as chats:
            chats.wait_for(20)
            self.proxies[0].cut()
            time.sleep(PARTITION_S)
            self.proxies[0].restore()
            chats.wait_for(20)
        self.check_responses(chats)
        self.check_none_interrupted(chats)


if __name__ == "__main__":
    unittest.main()
