"""The entry's HTTP front end as callers see it."""

import http.client
import http.server
import json
import os
import socket
import threading
import time
import unittest

from cluster import Cluster, wait_until

SAMPLES = os.path.join(os.path.dirname(__file__), "..", "..", "samples")
ZONE = Cluster.ZONES[0]
CHAT = "/v1/chat/completions"
INCOMPLETE_REQUESTS = 40


def key(name):
    """Returns an idempotency key with the current time."""
    return time.strftime("%Y%m%dT%H%M%SZ-", time.gmtime()) + name


class RecordingServer(http.server.ThreadingHTTPServer):
    """An upstream that records the request targets it receives."""

    def __init__(self):
        super().__init__(("127.0.0.1", 0), RecordingHandler)
        self.targets = []
        threading.Thread(target=self.serve_forever, daemon=True).start()


class RecordingHandler(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        if self.path == "/load":  # the agent's probe of the upstream's load
            self.send_error(404)
            return
        self.server.targets.append(self.path)
        self.send_response(200)
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")

    def log_message(self, *arguments):
        pass


def start(test, is_recording=False):
    cluster = Cluster(SAMPLES + "/maracas/rules.toml")
    test.addCleanup(lambda: cluster.__exit__(None, None, None))
    cluster.start_store()
    cluster.start_upstream("style-0", ZONE, "model", "style",
                           "style-assistant")
    if is_recording:
        test.upstream = RecordingServer()
        test.addCleanup(test.upstream.server_close)
        test.addCleanup(test.upstream.shutdown)
        cluster.ports["booking-0"] = test.upstream.server_port
        port = cluster.start_agent("booking-0", ZONE)
        cluster.inventory.append(
            "booking-0,127.0.0.1:%d,%s,plain,booking,,," % (port, ZONE))
    else:
        cluster.start_upstream("booking-0", ZONE, "plain", "booking")
    cluster.apply()
    cluster.start_entry("entry-1", ZONE)
    return cluster


class EntryTest(unittest.TestCase):
    def send(self, cluster, method, target, body=b"", **headers):
        """Sends a request unmodified; returns (status, headers, body)."""
        fields = {"Siskin-Account": "salon-desk"}
        fields.update({k.replace("_", "-"): v for k, v in headers.items()})
        connection = http.client.HTTPConnection(
            "127.0.0.1", cluster.ports["entry-1"], timeout=60)
        try:
            connection.putrequest(method, target, skip_accept_encoding=True)
            for name, value in fields.items():
                if value is not None:
                    connection.putheader(name, value)
            connection.putheader("Content-Length", str(len(body)))
            connection.endheaders(body)
            response = connection.getresponse()
            return response.status, dict(
                response.getheaders()), response.read()
        finally:
            connection.close()

    def chat_request(self, cluster, tokens):
        body = json.dumps({
            "model": "style-assistant", "max_tokens": tokens, "stream": True,
            "messages": [{"role": "user", "content": "an outfit"}]})
        connection = http.client.HTTPConnection(
            "127.0.0.1", cluster.ports["entry-1"], timeout=60)
        connection.request("POST", CHAT, body,
                           {"Siskin-Account": "style-app"})
        return connection

    def test_first_call_waits_for_the_agent_connection(self):
        cluster = start(self)
        cluster.wait_for_settings(["entry-1", "style-0"], 1)
        self.assertEqual(cluster.chat("entry-1").status, 200)

    def test_malformed_requests_are_refused_as_not_run(self):
        cluster = start(self)
        cluster.wait_for_settings(["entry-1", "booking-0"], 1)
        cases = [
            (401, "POST", "/bookings", b"", {"Siskin_Account": None}),
            (401, "POST", "/bookings", b"", {"Siskin_Account": "nobody"}),
            (400, "POST", "/bookings", b"", {}),
            (400, "POST", "/bookings", b"", {"Idempotency_Key": "a b"}),
            (400, "POST", "/bookings", b"", {"Idempotency_Key": ""}),
            (400, "GET", "/bookings", b"", {"Siskin_Deadline": "soon"}),
            (400, "GET", "/bookings", b"", {"Siskin_Deadline": "1 d"}),
            (400, "POST", CHAT, b'{"model": 1}', {}),
            (400, "GET", "/bookings/%2e%2e/../..", b"", {}),
            (400, "GET", "/bookings%2f..", b"", {}),
            (404, "GET", "/nothing", b"", {}),
            (404, "POST", CHAT, b'{"model": "\\"x", "messages": []}', {}),
            (405, "TRACE", "/bookings", b"", {}),
            (405, "pOST", "/bookings", b"", {}),
            (413, "POST", "/bookings", b"x" * 1100000,
             {"Idempotency_Key": key("large")}),
            (413, "POST", "/bookings", b"x" * 2200000,
             {"Idempotency_Key": key("larger")}),
            (414, "GET", "/bookings?" + "x" * 2000, b"", {}),
            (431, "GET", "/bookings", b"", {"Content_Type": "x" * 300}),
        ]
        for status, method, target, body, headers in cases:
            with self.subTest(status=status, target=target[:40]):
                actual_status, fields, text = self.send(
                    cluster, method, target, body, **headers)
                self.assertEqual(actual_status, status, text)
                self.assertEqual(fields["Siskin-Outcome"], "not-run")
                self.assertEqual(fields["Siskin-Refusal"], "invalid")
                self.assertEqual(
                    json.loads(text)["error"]["outcome"], "not-run")
        self.assertEqual(cluster.control("booking-0")["received"], 0)

    def test_equivalent_paths_match_the_same_rule(self):
        cluster = start(self)
        cluster.wait_for_settings(["entry-1", "booking-0"], 1)
        for i, target in enumerate([
                "//bookings", "/./bookings", "/x/../bookings", "/bookings/",
                "/%62ookings", "/bookings?x=1", "/x/%2e%2e/bookings"]):
            with self.subTest(target=target):
                self.assertEqual(
                    self.send(cluster, "POST", target)[0], 400)
                name = key("spelled-%d" % i)
                for _ in range(2):
                    self.assertEqual(self.send(
                        cluster, "POST", target, Idempotency_Key=name)[0], 201)
                self.assertEqual(
                    cluster.control("booking-0")["keys"][name], 1)

    def test_upstream_gets_the_normalized_path_and_the_query(self):
        cluster = start(self, is_recording=True)
        cluster.wait_for_settings(["entry-1", "booking-0"], 1)
        for target in ["//bookings/./7?day=1&to=%2Fa", "/bookings/a%20b"]:
            self.assertEqual(self.send(cluster, "GET", target)[0], 200)
        self.assertEqual(
            self.upstream.targets,
            ["/bookings/7?day=1&to=%2Fa", "/bookings/a%20b"])

    def test_incomplete_requests_do_not_block_other_callers(self):
        cluster = start(self)
        cluster.wait_for_settings(["entry-1", "style-0"], 1)
        callers = []
        for i in range(INCOMPLETE_REQUESTS):
            caller = socket.create_connection(
                ("127.0.0.1", cluster.ports["entry-1"]))
            self.addCleanup(caller.close)
            caller.sendall([b"POST /bookings HT",
                            b"POST /bookings HTTP/1.1\r\nHost: x\r\n",
                            b"POST /bookings HTTP/1.1\r\nHost: x\r\n"
                            b"Content-Length: 9\r\n\r\nhalf",
                            b"nonsense\r\n\r\n"][i % 4])
            callers.append(caller)
        self.assertEqual(cluster.chat("entry-1").status, 200)
        for caller in callers:
            caller.close()
        self.assertEqual(cluster.programs["entry-1"].stop(), 0)

    def test_disconnecting_caller_cancels_its_request(self):
        cluster = start(self)
        cluster.control("style-0", "token_ms=20")
        cluster.wait_for_settings(["entry-1", "style-0"], 1)
        connection = self.chat_request(cluster, 100000)
        response = connection.getresponse()
        response.read(8)
        connection.sock.shutdown(socket.SHUT_RDWR)
        response.close()
        connection.close()
        wait_until(lambda: cluster.control("style-0")["cancelled"] == 1, 30,
                   "the request to be cancelled")

    def test_graceful_stop_finishes_streams_and_rejects_new_requests(self):
        cluster = start(self)
        cluster.control("style-0", "token_ms=30")
        cluster.wait_for_settings(["entry-1", "style-0", "booking-0"], 1)
        keep_alive = http.client.HTTPConnection(
            "127.0.0.1", cluster.ports["entry-1"], timeout=60)
        headers = {"Siskin-Account": "salon-desk"}
        keep_alive.request("GET", "/bookings/1", headers=headers)
        self.assertEqual(keep_alive.getresponse().read()[:1], b"{")
        streaming = self.chat_request(cluster, 300)
        self.addCleanup(streaming.close)
        self.addCleanup(keep_alive.close)
        stream = streaming.getresponse()
        stream.read(8)
        entry = cluster.programs["entry-1"]
        entry.signal(15)
        wait_until(lambda: "event=stopping" in entry.text(), 30, "the stop")

        def rejected_response():
            keep_alive.request("GET", "/bookings/2", headers=headers)
            response = keep_alive.getresponse()
            response.read()
            return response.status == 503 and response

        response = wait_until(rejected_response, 30,
                              "a request to be rejected")
        self.assertEqual(response.headers["Siskin-Outcome"], "not-run")
        self.assertEqual(response.headers["Siskin-Refusal"], "leaving")
        self.assertEqual(response.headers["Connection"], "close")
        self.assertTrue(stream.read().endswith(b"data: [DONE]\n\n"))
        self.assertEqual(entry.process.wait(30), 0)


if __name__ == "__main__":
    unittest.main()
