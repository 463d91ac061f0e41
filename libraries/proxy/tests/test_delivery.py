"""Responses to callers that disconnect."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import cast
from unittest import mock

from aiohttp import web

from bamboopier_proxy.delivery import Delivery

REQUEST = cast("web.BaseRequest", SimpleNamespace(transport=None))


async def disconnect(*_: object) -> None:
    """Do what aiohttp does when a caller closes during the final write."""
    task = asyncio.current_task()
    assert task is not None
    task.cancel()
    await asyncio.sleep(0)


class DisconnectingCallerTests(unittest.IsolatedAsyncioTestCase):
    async def test_disconnecting_after_the_last_byte_completes_it(self) -> None:
        # A caller that closes after the complete response cancels the task in its final
        # write. The task continues: it has to release the target's connection and count
        # the response.
        delivery = Delivery(REQUEST, lambda: False)
        with (
            mock.patch.object(web.Response, "prepare", mock.AsyncMock()),
            mock.patch.object(web.Response, "write_eof", disconnect),
        ):
            await delivery.send(200, (), b"whole")
        self.assertTrue(delivery.started)

    async def test_disconnecting_earlier_cancels_the_task(self) -> None:
        delivery = Delivery(REQUEST, lambda: False)
        with (
            mock.patch.object(web.StreamResponse, "prepare", disconnect),
            self.assertRaises(asyncio.CancelledError),
        ):
            await delivery.start(200, ())


if __name__ == "__main__":
    unittest.main()
