"""Tests of the responses to callers after errors in the gateway itself."""

from __future__ import annotations

import json
import unittest
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any
from unittest import mock

from aiohttp.test_utils import TestClient, TestServer

from bamboopier_gateway.application import DENIALS, GatewayApplication
from bamboopier_gateway.errors import CallerError, ErrorCode
from bamboopier_gateway.metrics import GatewayMetrics
from bamboopier_protocol import agent_pb2 as pb

if TYPE_CHECKING:
    from aiohttp import web


class FailingForwarder:
    """Fails with a programming error before or after the response has started."""

    def __init__(self, *, fails_after_start: bool) -> None:
        self.fails_after_start = fails_after_start

    async def forward(self, call: Any, delivery: Any) -> web.StreamResponse:
        if self.fails_after_start:
            header = pb.Header(name="Content-Type", value="text/event-stream")
            await delivery.start(pb.ResponseHead(status=200, headers=[header]))
            await delivery.write(b"data: part\n\n")
        raise ZeroDivisionError("secret detail")


async def read_call(*_: Any) -> Any:
    return SimpleNamespace(request_id="r1", service="desk")


async def fail_to_read(*_: Any) -> Any:
    raise ZeroDivisionError("secret detail")


class ApplicationTests(unittest.IsolatedAsyncioTestCase):
    async def send_request(
        self,
        read: Any,
        *,
        fails_after_start: bool = False,
        generation: int = 1,
        current: bool = True,
    ) -> tuple[int, str]:
        settings = SimpleNamespace(
            write_timeout_seconds=5.0, data_centre="dc", max_held_body_bytes=1000
        )
        follower = SimpleNamespace(
            directory=SimpleNamespace(generation=generation), is_current=current
        )
        reader = SimpleNamespace(read_model_call=read, read_plain_call=read)
        application = GatewayApplication(
            settings,  # type: ignore[arg-type]
            follower,  # type: ignore[arg-type]
            reader,  # type: ignore[arg-type]
            FailingForwarder(fails_after_start=fails_after_start),  # type: ignore[arg-type]
            GatewayMetrics(),
        )
        server = TestServer(application.make_application())
        with (
            mock.patch("bamboopier_gateway.application.log"),
            mock.patch("bamboopier_gateway.error_responses.log"),
        ):
            async with TestClient(server) as client:
                response = await client.post("/v1/completions", data=b"{}")
                return response.status, await response.text()

    async def test_a_gateway_without_a_configuration_refuses_with_retry_after(
        self,
    ) -> None:
        # The platform does not respond while a gateway starts, and a caller with a
        # valid key sends a request. The gateway has no keys, so "unauthenticated" would
        # be false and final; the caller learns that nothing ran and retries.
        status, text = await self.send_request(read_call, generation=0)
        error = json.loads(text)["error"]
        self.assertEqual((status, error["ran"]), (503, "no"))
        self.assertEqual(error["code"], "stale_configuration")

    async def test_nothing_is_denied_as_an_outdated_configuration_says(self) -> None:
        # Guards against 401, 403 and 404, which callers do not retry, for keys and
        # services that were added while the gateway could not read the configuration.
        for code in DENIALS:
            for current, status in ((True, code.status), (False, 503)):
                with self.subTest(code, current=current):

                    async def deny(*_: Any, code: ErrorCode = code) -> Any:
                        raise CallerError(code, "denied")

                    found, text = await self.send_request(deny, current=current)
                    self.assertEqual(found, status)
                    self.assertEqual(json.loads(text)["error"]["ran"], "no")

    async def test_an_error_before_any_attempt_is_not_run(self) -> None:
        status, text = await self.send_request(fail_to_read)
        error = json.loads(text)["error"]
        self.assertEqual((status, error["code"]), (500, "internal"))
        self.assertEqual(error["ran"], "no")
        self.assertNotIn("secret detail", text)

    async def test_an_error_after_an_attempt_is_unknown(self) -> None:
        status, text = await self.send_request(read_call)
        error = json.loads(text)["error"]
        self.assertEqual((status, error["code"]), (500, "internal"))
        self.assertEqual((error["ran"], error["request_id"]), ("unknown", "r1"))
        self.assertNotIn("secret detail", text)

    async def test_an_error_within_a_stream_ends_it_with_an_error_event(self) -> None:
        status, text = await self.send_request(read_call, fails_after_start=True)
        self.assertEqual(status, 200)
        self.assertIn("event: error", text)
        self.assertNotIn("secret detail", text)

    def test_every_code_has_a_status_and_a_type(self) -> None:
        for code in ErrorCode:
            error = CallerError(code, "m", retry_after=0.2)
            self.assertGreaterEqual(error.status, 400)
            self.assertTrue(code.error_type.endswith("_error"))
            self.assertIn(b"Retry-After: 1\r\n", error.make_raw_response("r"))
