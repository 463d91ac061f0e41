"""Tests request formats, limits and errors of a gateway from the caller's side."""

from __future__ import annotations

import json
import re
import time
import unittest
from typing import Any

from processes import Installation, fetch

from .builders import DESK, VANS, build_small_installation, call
from .raw_calls import (
    WAIT_TIMEOUT_SECONDS,
    connect,
    exchange,
    make_head,
    read_response,
    read_to_end,
)

MODEL = "pillar-8b"
CHAT = "/v1/chat/completions"
TEXT = "/v1/completions"
USER = {"role": "user"}
SHORT_TIMEOUTS = {
    "header_timeout_seconds": 0.5,
    "body_timeout_seconds": 0.5,
    "write_timeout_seconds": 1.0,
    "idle_timeout_seconds": 2.0,
}
MAX_CONNECTIONS = 3
MAX_HELD_BYTES = 1024 * 1024
# Each row: method, path, body, headers, status, code.
ERRORS: list[tuple[str, str, Any, dict[str, str], int, str]] = [
    ("GET", "/nowhere", None, {}, 404, "not_found"),
    ("GET", "/v1/completions/", None, {}, 404, "not_found"),
    ("GET", TEXT, None, {}, 405, "method_not_allowed"),
    ("POST", TEXT, None, {}, 400, "bad_request"),
    ("POST", TEXT, {"prompt": "a"}, {}, 400, "bad_request"),
    ("POST", TEXT, {"model": MODEL}, {}, 400, "bad_request"),
    ("POST", TEXT, {"model": MODEL, "prompt": ["a", "b"]}, {}, 400, "bad_request"),
    ("POST", TEXT, {"model": MODEL, "prompt": [[1, 2]]}, {}, 400, "bad_request"),
    ("POST", TEXT, {"model": MODEL, "prompt": "a", "max_tokens": 0}, {}, 400, "bad_r"),
    ("POST", TEXT, {"model": "none", "prompt": "a"}, {}, 404, "not_found"),
    ("POST", CHAT, {"model": MODEL, "prompt": "a"}, {}, 400, "bad_request"),
    ("POST", CHAT, {"model": MODEL, "messages": [{}]}, {}, 400, "bad_request"),
    ("POST", TEXT, {}, {"Content-Encoding": "gzip"}, 415, "unsupported_encoding"),
    ("POST", TEXT, {}, {"Authorization": "Basic x"}, 401, "unauthenticated"),
    ("POST", TEXT, {}, {"Authorization": "Bearer \xe9"}, 401, "unauthenticated"),
    ("GET", "/v1/models", None, {"Authorization": "x"}, 401, "unauthenticated"),
    ("TRACE", "/services/dispatch/a", None, {}, 405, "method_not_allowed"),
    ("PURGE", "/services/dispatch/a", None, {}, 405, "method_not_allowed"),
    ("GET", "/services/none/a", None, {}, 404, "not_found"),
    ("GET", "/services/fault-desk/a", None, {}, 404, "not_found"),
    ("GET", "/services/dispatch/a", None, {"X-Priority": "99"}, 400, "bad_request"),
    ("GET", "/services/dispatch/a", None, {"X-Timeout-Seconds": "nan"}, 400, "bad_r"),
    ("GET", "/services/dispatch/a", None, {"Idempotency-Key": "\xe9\x01"}, 400, "bad"),
    ("GET", "/services/dispatch/a", None, {"X-A": "\xe9"}, 400, "bad_request"),
    ("GET", "/services/dispatch/a", None, {"X-HTTP-Method-Override": "PUT"}, 400, "b"),
]
# Each row: bytes, status, code. None is an acceptable HTTP request.
MALFORMED_REQUESTS: list[tuple[bytes, int, str]] = [
    (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400, "bad_request"),
    (b"GET / HTTP/9.9\r\n\r\n", 400, "bad_request"),
    (make_head("GET", "/", "X: " + "a" * 9000), 431, "headers_too_large"),
    (make_head("GET", "/" + "a" * 9000), 431, "headers_too_large"),
    (make_head("GET", "/", *[f"X-{n}: a" for n in range(200)]), 400, "bad_request"),
    (make_head("GET", "/", *[f"X-{n}: " + "a" * 8000 for n in range(5)]), 431, "h"),
    (
        make_head("POST", TEXT, "Transfer-Encoding: chunked") + b"zz\r\n",
        400,
        "bad_request",
    ),
    (make_head("POST", TEXT, "Content-Length: 99999999"), 413, "too_large"),
    (
        make_head("POST", "/services/dispatch/a", "Content-Length: 99999999"),
        413,
        "too_large",
    ),
]
# Bodies that are invalid JSON, some only in a field that the gateway does not read.
INVALID_BODIES = [
    b"{",
    b'{"model": "\xff"}',
    b"[" * 50_000,
    b'{"model": 1}',
    b"null",
    b'{"model": "pillar-8b", "prompt": "a", "ma\xba": 1}',
    b'{"model": "pillar-8b", "prompt": "a", "x": "\xff"}',
    b'{"model": "pillar-8b", "prompt": "a", "x": "\\ud800"}',
    b'{"model": "pillar-8b", "prompt": "a", "x": ' + b"[" * 300 + b"]" * 300 + b"}",
]
# Spellings of /vans that must not match the idempotent /boxes or run twice.
BYPASS_PATHS = [
    "/boxes/../vans",
    "/boxes/%2e%2e/vans",
    "/boxes/..%2fvans",
    "/boxes/..;/vans",
    "/boxes%2f..%2fvans",
    "/boxes/./../vans",
    "/boxes%5c..%5cvans",
    "//vans",
    "/%2fvans",
    "/vans%00",
    "/%2576ans",
    "/vans%zz",
]
EQUIVALENT_PATHS = [
    "/vans",
    "/vans/",
    "/VANS",
    "/%76ans",
    "/Vans/now",
    "/vans?a=/boxes",
]


class CallerTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.installation = cls.enterClassContext(Installation())
        build_small_installation(cls.installation)
        cls.installation.start_gateway("tight", "dc-east", **SHORT_TIMEOUTS)
        cls.installation.start_gateway(
            "few",
            "dc-east",
            max_connections=MAX_CONNECTIONS,
            max_held_body_bytes=MAX_HELD_BYTES,
        )
        cls.installation.wait_until_ready()
        cls.url = cls.installation.gateways["gateway-1"]
        cls.short_timeouts_url = cls.installation.gateways["tight"]

    def test_each_refused_request_gets_a_typed_error(self) -> None:
        for method, path, body, headers, status, code in ERRORS:
            with self.subTest(path=path, body=body, headers=headers):
                response = call(self.url, method, path, body, headers)
                self.assertEqual(response.status, status, response.body)
                self.assertTrue(response.error["code"].startswith(code), response.body)
                self.assertEqual(response.error["ran"], "no")
                self.assertTrue(response.error["message"])
                self.assertTrue(response.error["type"].endswith("_error"))
                request_id = response.headers["X-Request-Id"]
                self.assertEqual(response.error["request_id"], request_id)

    def test_malformed_http_gets_a_typed_error_and_no_traceback(self) -> None:
        for sent, status, code in MALFORMED_REQUESTS:
            with self.subTest(sent[:40]):
                received = exchange(self.url, sent)
                found, error = read_response(received)
                self.assertEqual((found, error["ran"]), (status, "no"))
                self.assertTrue(error["code"].startswith(code), error)
                self.assertNotIn(b"Traceback", received)

    def test_invalid_json_bodies_get_a_typed_error(self) -> None:
        # The gateway must refuse every body that the agent cannot parse. Otherwise the
        # outcome is "unknown", it counts as a failure of the target and the gateway
        # retries at the next target, until one caller has made all targets unavailable.
        for body in INVALID_BODIES:
            with self.subTest(body[:20]):
                size = f"Content-Length: {len(body)}"
                head = make_head("POST", TEXT, size, "Connection: close")
                status, error = read_response(exchange(self.url, head + body))
                self.assertEqual((status, error["code"]), (400, "bad_request"))

    def test_garbage_after_a_valid_request_gets_a_typed_error(self) -> None:
        # The garbage arrives after the first response has started, or in one write with
        # the first request. In the second case neither runs and the response says so.
        good = make_head("GET", "/v1/models")
        with connect(self.url) as connection:
            connection.sendall(good)
            first = connection.recv(65_536)
            connection.sendall(b"\x00\x01garbage\r\n\r\n")
            second = read_to_end(connection)
        self.assertIn(MODEL.encode(), first)
        self.assertEqual(read_response(second)[1]["code"], "bad_request")
        order = make_head("DELETE", "/services/dispatch/vans/piped")
        status, error = read_response(
            exchange(self.url, order + b"\x00garbage\r\n\r\n")
        )
        self.assertEqual((status, error["ran"]), (400, "no"))
        self.assertNotIn("piped", str(self.installation.read_target_log(VANS)))

    def test_a_chunked_body_above_the_limit_is_refused_early(self) -> None:
        # The limit is 4 MiB; the caller never sends the end of the body.
        chunk = b"100000\r\n" + b"a" * 0x100000 + b"\r\n"
        head = make_head(
            "POST", "/services/dispatch/vans", "Transfer-Encoding: chunked"
        )
        received = exchange(self.url, head + chunk * 5)
        status, error = read_response(received)
        self.assertEqual((status, error["code"]), (413, "too_large"))
        self.assertNotIn("a" * 100, str(self.installation.read_target_log(VANS)))

    def test_slow_request_headers_close_the_connection(self) -> None:
        # A caller sends half a header and leaves the connection open. Without a timeout
        # a few such callers could occupy all connections of the gateway.
        self.assertEqual(
            exchange(self.short_timeouts_url, b"GET / HTTP/1.1\r\nHost: "), b""
        )

    def test_a_slow_request_body_is_refused(self) -> None:
        head = make_head("POST", "/services/dispatch/vans", "Content-Length: 100")
        status, error = read_response(exchange(self.short_timeouts_url, head + b"half"))
        self.assertEqual((status, error["code"]), (408, "body_timeout"))
        self.assertEqual(error["ran"], "no")

    def test_an_idle_connection_is_closed(self) -> None:
        self.assertEqual(exchange(self.short_timeouts_url, b""), b"")

    def test_a_connection_above_the_limit_is_refused_at_once(self) -> None:
        url = self.installation.gateways["few"]
        held = [connect(url) for _ in range(MAX_CONNECTIONS)]
        try:
            status, error = read_response(exchange(url, make_head("GET", "/")))
        finally:
            for connection in held:
                connection.close()
        self.assertEqual((status, error["code"]), (503, "too_many_connections"))
        self.assertEqual(error["ran"], "no")

    def test_bodies_over_the_memory_limit_are_refused_and_accepted_ones_run(
        self,
    ) -> None:
        # A large body has nearly arrived and a second one exceeds the memory limit with
        # it. The second is refused at once; the first completes normally.
        url = self.installation.gateways["few"]
        size = MAX_HELD_BYTES - 1000
        head = make_head(
            "POST",
            "/services/dispatch/held",
            f"Content-Length: {size}",
            "Connection: close",
        )
        with connect(url) as first:
            first.sendall(head + b"a" * (size - 1))
            self.wait_for_held(size - 1)
            response = call(url, "POST", "/services/dispatch/next", "b" * 2000)
            first.sendall(b"a")
            received = read_to_end(first)
        self.assertEqual((response.status, response.error["ran"]), (503, "no"))
        self.assertEqual(response.error["code"], "overloaded")
        self.assertEqual(response.headers["Retry-After"], "1")
        self.assertIn(b"201 Created", received)
        self.assertEqual(call(url, "POST", "/services/dispatch/held", "b").status, 201)

    def wait_for_held(self, size: int) -> None:
        """Wait until the gateway holds ``size`` bytes of request bodies."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        url = self.installation.admin["few"] + "/metrics"
        held = re.compile(r"^bamboopier_held_body_bytes (\S+)$", re.MULTILINE)
        while float(held.findall(fetch(url).decode())[0]) != size:
            self.assertLess(time.monotonic(), deadline, "never read")
            time.sleep(0.05)

    def test_a_caller_that_reads_nothing_is_disconnected(self) -> None:
        # The caller requests a large response and does not read it. Without a timeout
        # the response would occupy its target and its memory for ever.
        order = b'"' * 3_500_000
        size = f"Content-Length: {len(order)}"
        head = make_head("POST", "/services/dispatch/echo", size)
        with connect(self.short_timeouts_url, receive_buffer=4096) as connection:
            connection.sendall(head + order)
            self.wait_for_log("tight", "caller too slow")
            received = read_to_end(connection)
        self.assertIn(b"201 Created", received)
        # The response repeats the body with each quote escaped: twice its size.
        self.assertLess(len(received), 2 * len(order))
        self.assertFalse(received.endswith(b"0\r\n\r\n"))

    def test_no_spelling_of_a_path_bypasses_its_route(self) -> None:
        # A caller sends each dispatch twice with one key. A plain text comparison would
        # match its path to an idempotent route, and the target matches it to /vans.
        for number, path in enumerate([*BYPASS_PATHS, *EQUIVALENT_PATHS]):
            with self.subTest(path):
                mark = f"order-{number}."
                headers = {"Idempotency-Key": mark}
                full = "/services/dispatch" + path
                responses = [
                    call(self.url, "POST", full, {"for": mark}, headers)
                    for _ in range(2)
                ]
                log = self.installation.read_target_log(VANS)
                runs = [entry for entry in log if mark in entry["body"]]
                if path in BYPASS_PATHS:
                    self.assertEqual(responses[0].error["code"], "bad_path")
                    self.assertEqual(runs, [])
                else:
                    self.assertEqual([r.status for r in responses], [201, 201])
                    self.assertEqual(len(runs), 1)

    def test_method_path_query_headers_body_and_status_pass_through(self) -> None:
        path = "/boxes/a%20b%C3%A9?x=1%262&y=a+b&y=%20"
        headers = {
            "X-Own": "kept",
            "X-Named": "dropped",
            "Connection": "keep-alive, X-Named",
            "Cookie": "session=1",
            "X-Request-Id": "callers-own",
        }
        for method in ("GET", "PUT", "PATCH", "DELETE", "OPTIONS", "HEAD"):
            with self.subTest(method):
                body = {"at": method} if method in ("PUT", "PATCH") else None
                full = "/services/dispatch" + path
                response = call(self.url, method, full, body, headers)
                self.assertEqual(response.status, 201 if body else 200)
                self.assertNotEqual(response.headers["X-Request-Id"], "callers-own")
                entry = self.installation.read_target_log(VANS)[-1]
                self.assertEqual((entry["method"], entry["raw_path"]), (method, path))
                self.assertEqual(entry["body"], json.dumps(body) if body else "")
                names = {name.lower(): value for name, value in entry["headers"]}
                self.assertEqual(names["x-own"], "kept")
                for name in ("x-named", "cookie", "authorization"):
                    self.assertNotIn(name, names)

    def test_request_formats_of_openai_clients_are_accepted(self) -> None:
        part = [{"type": "text", "text": "is the box"}, {"type": "text", "text": "up"}]
        bodies: list[tuple[str, dict[str, Any]]] = [
            (TEXT, {"prompt": ["one text"], "max_tokens": 2, "n": 1, "stop": ["x"]}),
            (CHAT, {"messages": [{**USER, "content": part}], "stream": None}),
            (
                CHAT,
                {"messages": [{**USER, "content": "a"}], "max_completion_tokens": 2},
            ),
        ]
        for path, body in bodies:
            with self.subTest(body):
                response = call(self.url, "POST", path, {"model": MODEL, **body})
                self.assertEqual(response.status, 200, response.body)
        self.assertTrue(self.installation.read_target_log(DESK))

    def test_the_models_of_the_workspace_are_listed(self) -> None:
        response = call(self.url, "GET", "/v1/models")
        listed = json.loads(response.body)
        self.assertEqual([model["id"] for model in listed["data"]], [MODEL])
        self.assertEqual(listed["object"], "list")

    def test_both_daemons_export_request_metrics(self) -> None:
        body = {"model": MODEL, "prompt": "count this", "max_tokens": 2}
        response = call(self.url, "POST", TEXT, body)
        self.assertEqual(response.status, 200, response.body)
        # The caller receives the last byte shortly before the metrics are updated.
        gateway = self.wait_for_metric("bamboopier_caller_prompt_tokens_total{")
        agent = fetch(self.installation.admin[f"{DESK}-agent"] + "/metrics").decode()
        service = '{service="fault-desk"'
        first_token = "bamboopier_time_to_first_token_seconds_count"
        self.assertRegex(gateway, rf"{first_token}{service}\}} [1-9]")
        tokens = "bamboopier_caller_prompt_tokens_total"
        self.assertRegex(gateway, rf'{tokens}{service},source="recomputed"\}} [1-9]')
        self.assertRegex(agent, r'bamboopier_prompt_tokens_total\{source="reused"\}')
        self.assertIn('bamboopier_process{data_centre="dc-east"', gateway)
        for text in (gateway, agent):
            self.assertIn("bamboopier_ready 1.0", text)
            self.assertIn("bamboopier_configuration_generation 1.0", text)

    def wait_for_metric(self, start: str) -> str:
        """Return gateway-1's metrics once a line starting with ``start`` is not 0."""
        url = self.installation.admin["gateway-1"] + "/metrics"
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            text = fetch(url).decode()
            found = [line for line in text.splitlines() if line.startswith(start)]
            if any(not line.endswith(" 0.0") for line in found):
                return text
            time.sleep(0.05)
        raise AssertionError(f"no metric {start} above zero")

    def wait_for_log(self, name: str, event: str) -> None:
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            log = self.installation.daemons[name].read_log()
            if any(line["event"] == event for line in log):
                return
            time.sleep(0.05)
        self.fail(f"{name} never logged '{event}'")
