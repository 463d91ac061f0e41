"""Tests of what an HTTP client receives of complete, empty and truncated responses.

The target's response stops half way. With a normal end, a client would treat the part
as the complete order confirmation; it must get an error instead, whatever the framing.
"""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from bamboopier_decisions.routing.messages import ExecutionStatus
from bamboopier_gateway.delivery import Delivery
from bamboopier_gateway.errors import CallerError, ErrorCode
from bamboopier_protocol import agent_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ERROR = CallerError(
    ErrorCode.OUTCOME_UNKNOWN, "response truncated", ExecutionStatus.UNKNOWN
)
# Reached only where a response neither ends nor is aborted.
CLIENT_TIMEOUT = aiohttp.ClientTimeout(total=5)
LENGTH = pb.Header(name="Content-Length", value="10")
JSON = pb.Header(name="Content-Type", value="application/json")
EVENTS = pb.Header(name="Content-Type", value="text/event-stream")


@asynccontextmanager
async def serve_response(
    head: pb.ResponseHead, chunks: list[bytes], complete: bool
) -> AsyncIterator[TestClient[web.Request, web.Application]]:
    """Serve one response through a ``Delivery``."""

    async def serve(request: web.Request) -> web.StreamResponse:
        delivery = Delivery(request, "request-1", write_timeout=10)
        await delivery.start(head)
        for chunk in chunks:
            await delivery.write(chunk)
        if not complete:
            return await delivery.fail(ERROR)
        await delivery.finish()
        return delivery.response

    application = web.Application()
    application.router.add_route("*", "/", serve)
    async with TestClient(TestServer(application), timeout=CLIENT_TIMEOUT) as client:
        yield client


class DeliveryTests(unittest.IsolatedAsyncioTestCase):
    async def test_complete_responses(self) -> None:
        halves = [b"01234", b"56789"]
        for method, status, headers, chunks, length in (
            ("POST", 201, [JSON], halves, None),
            ("POST", 201, [JSON, LENGTH], halves, "10"),
            ("HEAD", 200, [JSON, LENGTH], [], "10"),
            ("DELETE", 204, [], [], None),
            ("GET", 304, [], [], None),
        ):
            with self.subTest(method=method, status=status, headers=len(headers)):
                head = pb.ResponseHead(status=status, headers=headers)
                async with serve_response(head, chunks, complete=True) as client:
                    response = await client.request(method, "/")
                    self.assertEqual(await response.read(), b"".join(chunks))
                    self.assertEqual(response.headers.get("Content-Length"), length)
                    again = await client.request(method, "/")
                    self.assertEqual(again.status, status)

    async def test_a_truncated_response_is_an_error_to_its_reader(self) -> None:
        for headers in ([JSON], [JSON, LENGTH], [EVENTS, LENGTH]):
            with self.subTest(headers=len(headers)):
                head = pb.ResponseHead(status=201, headers=headers)
                async with serve_response(head, [b"01234"], complete=False) as client:
                    with self.assertRaises(aiohttp.ClientError):
                        response = await client.post("/")
                        await response.read()

    async def test_a_truncated_event_stream_ends_with_an_error_event(self) -> None:
        head = pb.ResponseHead(status=200, headers=[EVENTS])
        async with serve_response(head, [b"data: 1\n\n"], complete=False) as client:
            response = await client.post("/")
            body = await response.read()
        self.assertIn(b"event: error\ndata: ", body)
        self.assertIn(b'"ran":"unknown"', body)
