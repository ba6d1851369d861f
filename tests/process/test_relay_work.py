"""A relay expects an answer's length from the client's estimate and from past
answers, whatever clients write into their header fields."""

import re
import unittest

import platform_replicas as replicas
from platform_fixture import Platform, ask, new_id
from cluster import wait_until

STRIDE = 5  # of the engine in platform_fixture
TYPICAL_EVENTS = 20 / STRIDE
OTHER_KEYS = ["key-%d" % number for number in range(10)]


class RelayWorkTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform().__enter__()
        self.addCleanup(self.platform.__exit__, None, None, None)
        self.platform.configure(lambda config: config["tenants"].extend(
            {"name": "of-" + key, "keys": [key]} for key in OTHER_KEYS))
        for zone in "abc":
            model = self.platform.add_replica("model", zone, slots=4)
            model.answer = replicas.stream(gap_s=0)
        self.relay = self.platform.start_relay()

    def sent(self, **options):
        """Sends a request, and returns fields of the line of its sending."""
        request_id = new_id()
        reply = ask(self.relay, "/look/x", method="POST", body=b"prompt",
                    request_id=request_id, **options)
        self.assertEqual(reply.status, 200)
        line = wait_until(lambda: re.search(
            "event=sent request=%s .*" % request_id, self.relay.text()), 5,
            "the line of the sending")
        fields = dict(re.findall(r"(\w+)=(\S+)", line.group(0)))
        self.assertEqual(fields["reason"], "least-work")
        return fields

    def expected_events(self, **options):
        return float(self.sent(**options)["expected_events"])

    def test_estimate_is_used_and_corrected(self):
        headers = {"Length-Hint": "100", "Token-Counts": "600,1000"}
        first = self.sent(headers=headers)
        self.assertEqual(float(first["expected_events"]), 100 / STRIDE)
        self.assertGreater(int(first["work_ms"]), 0)
        for _ in range(50):
            ask(self.relay, "/look/x", method="POST", body=b"p",
                headers=headers)
        self.assertAlmostEqual(self.expected_events(headers=headers),
                               replicas.STREAM_PIECES, delta=2)
        self.assertEqual(
            self.expected_events(headers=headers, key=OTHER_KEYS[0]),
            100 / STRIDE)
        self.assertRegex(
            self.platform.metrics(self.relay),
            r'siskin_relay_output_ratio_count{service="model"} [1-9]')

    def test_absurd_estimates_and_counts_count_as_none(self):
        """Each is the first request of its account, so that nothing but its
        header fields counts."""
        for key, headers in zip(OTHER_KEYS, (
                {}, {"Length-Hint": ""}, {"Length-Hint": "0"},
                {"Length-Hint": "-7"}, {"Length-Hint": "many"},
                {"Length-Hint": "1e3"}, {"Length-Hint": "99999999999999999"},
                {"Token-Counts": "-5,-5"}, {"Token-Counts": "1,"},
                {"Token-Counts": "18446744073709551615,1"})):
            with self.subTest(headers=headers):
                fields = self.sent(headers=headers, key=key)
                self.assertEqual(float(fields["expected_events"]),
                                 TYPICAL_EVENTS)
                self.assertLess(int(fields["work_ms"]), 100)


if __name__ == "__main__":
    unittest.main()
