"""Clients that break every limit of the product's own interface, with and without TLS.

Each test is about one address, and holds crowds there while an ordinary caller asks.
No bound depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import json
import ssl
import time
import unittest
import urllib.request
from contextlib import suppress
from urllib.parse import urlsplit

from crowds import Behaviour, Crowd, ProcessWatch
from processes import Installation

from .builders import DESK, FOSSE_KEY, build_small_installation, publish_examples
from .raw_calls import make_head
from .tls_files import AGENT_NAME, GATEWAY_NAME, HOST, TlsFiles, without_authority

MAX_MEMORY_BYTES = 128_000_000
# Connections that a gateway accepts here, and the descriptors that it may use.
MAX_CONNECTIONS = 200
MAX_DESCRIPTORS = 500
# Descriptors of an agent, which 340 gateways call.
MAX_AGENT_DESCRIPTORS = 1300
FEW, SOME, MANY = 4, 20, 40
ALL_PLACES, ALL_AGENT_PLACES = 600, 1500
ENDLESS_BYTES = 24_000_000
MAX_BODY_BYTES = 4 * 1024 * 1024
TIMEOUT_SECONDS = 30.0
RETRY_SECONDS = 0.2
GATEWAY, AGENT = "gateway-1", f"{DESK}-agent"
ORDER = {"model": "pillar-8b", "prompt": "is the box live?", "max_tokens": 2}

FIELD = b"b" * 65_536
LINES = (b"A: " + b"b" * 11 + b"\r\n") * 4096
EMPTY_LINES = b"\r\n" * 32_768
LARGE_CHUNK = b"10000\r\n" + FIELD + b"\r\n"
BYTE_CHUNKS = b"1\r\nx\r\n" * 10_922
PATH = "/services/dispatch/vans"
HEAD = make_head("POST", PATH)[:-2]
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# The start of HTTP/2: its preface, and a frame of settings.
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\x00\x04\x00" + bytes(4)
# Headers that are continued without end, and streams without end.
CONTINUATION = b"\x00\x00\x01\x01\x00\x00\x00\x00\x01\x00"
CONTINUATIONS = (b"\x00\x40\x00\x09\x00\x00\x00\x00\x01" + b"\x00" * 16_384) * 4
PINGS = (b"\x00\x00\x08\x06\x00" + bytes(4) + b"12345678") * 4000


def send_endlessly(first: bytes, piece: bytes) -> Behaviour:
    return Behaviour(first, piece, ENDLESS_BYTES)


HEADS = (
    send_endlessly(HEAD + b"A: ", FIELD),
    send_endlessly(HEAD, LINES),
    send_endlessly(b"", EMPTY_LINES),
)
BODIES = (
    send_endlessly(CHUNKED + b"1\r\nx\r\n0\r\nA: ", FIELD),
    Behaviour(CHUNKED, LARGE_CHUNK, len(CHUNKED) + MAX_BODY_BYTES - 1),
    Behaviour(CHUNKED, BYTE_CHUNKS, len(CHUNKED) + 5 * MAX_BODY_BYTES),
    send_endlessly(CHUNKED + b"5;a=", FIELD),
)
FRAMES = (
    send_endlessly(PREFACE + CONTINUATION, CONTINUATIONS),
    send_endlessly(PREFACE, PINGS),
    send_endlessly(b"", FIELD),
)


class CrowdTestCase(unittest.TestCase):
    """An installation with one gateway, whose callers get answers beside a crowd."""

    has_tls = False

    @classmethod
    def setUpClass(cls) -> None:
        cls.installation = cls.enterClassContext(Installation())
        cls.context: ssl.SSLContext | None = None
        cls.installation.settings = {"gateway": {"max_connections": MAX_CONNECTIONS}}
        if not cls.has_tls:
            build_small_installation(cls.installation)
            return
        files = TlsFiles(cls.installation.directory)
        gateway = files.issue("gateway", GATEWAY_NAME, HOST)
        agent = files.issue("agent", AGENT_NAME, HOST)
        cls.installation.settings["gateway"] |= {
            "tls": gateway,
            "caller_tls": without_authority(gateway),
        }
        cls.installation.settings["agent"] = {"tls": agent}
        cls.context = ssl.create_default_context()
        files.authority.configure_trust(cls.context)
        cls.installation.start_platform()
        cls.installation.start_store("store-1", "fault-desk-context", "dc-east")
        cls.installation.start_target(DESK, "engine", "fault-desk", "dc-east")
        cls.installation.start_gateway(GATEWAY, "dc-east")
        publish_examples(cls.installation)
        cls.installation.wait_until_ready()

    def find_address(self, url: str) -> tuple[str, int]:
        address = urlsplit(url)
        return address.hostname or "", address.port or 0

    @property
    def caller_address(self) -> tuple[str, int]:
        return self.find_address(self.installation.gateways[GATEWAY])

    @property
    def agent_address(self) -> tuple[str, int]:
        address = next(v["address"] for v in self.installation.vms if v["name"] == DESK)
        return self.find_address(f"//{address}")

    def call_until_answered(self) -> int:
        """Return the status of an ordinary request, sent again while it fails."""
        request = urllib.request.Request(
            self.installation.gateways[GATEWAY] + "/v1/completions",
            data=json.dumps(ORDER).encode(),
            headers={"Authorization": f"Bearer {FOSSE_KEY}"},
        )
        until = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < until:
            with (
                suppress(OSError),
                urllib.request.urlopen(
                    request, timeout=TIMEOUT_SECONDS, context=self.context
                ) as response,
            ):
                return int(response.status)
            time.sleep(RETRY_SECONDS)
        return 0

    def check(
        self,
        address: tuple[str, int],
        count: int,
        *behaviours: Behaviour,
        daemon: str = GATEWAY,
        descriptors: int = MAX_DESCRIPTORS,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Hold each crowd at an address; an ordinary caller is answered beside it."""
        asyncio.run(self._check(address, count, behaviours, daemon, descriptors, tls))

    async def _check(
        self,
        address: tuple[str, int],
        count: int,
        behaviours: tuple[Behaviour, ...],
        daemon: str,
        descriptors: int,
        tls: ssl.SSLContext | None,
    ) -> None:
        process = self.installation.daemons[daemon].process
        async with ProcessWatch(process.pid, [address]) as watch:
            for behaviour in behaviours:
                async with Crowd(address, count, behaviour, tls) as crowd:
                    await crowd.send_all()
                    beside = await asyncio.to_thread(self.call_until_answered)
                    self.assertEqual(beside, 200, "no service beside the crowd")
            afterwards = await asyncio.to_thread(self.call_until_answered)
            self.assertIsNone(process.poll(), "the process has ended")
            self.assertEqual(afterwards, 200, "no service after the crowd")
            self.assertLess(watch.memory, MAX_MEMORY_BYTES)
            self.assertLess(watch.descriptors, descriptors)


class PlainCrowdTests(CrowdTestCase):
    def test_heads_at_the_callers_address(self) -> None:
        """Guards against heads that fill a gateway's memory."""
        self.check(self.caller_address, FEW, *HEADS)

    def test_bodies_at_the_callers_address(self) -> None:
        """Guards against bodies that fill a gateway's memory or occupy it."""
        self.check(self.caller_address, MANY, *BODIES)

    def test_silent_clients_hold_all_places_of_callers(self) -> None:
        """Guards against connections without a request that keep callers out."""
        self.check(self.caller_address, ALL_PLACES, Behaviour())

    def test_slow_bodies_hold_all_places_of_callers(self) -> None:
        """Guards against bodies that never end and keep callers out."""
        first = HEAD + b"Content-Length: 1000\r\n\r\n"
        slow = Behaviour(first, b"b", len(first) + 100, pause=0.3)
        self.check(self.caller_address, ALL_PLACES, slow)

    def test_heads_and_bodies_at_the_administration_of_a_gateway(self) -> None:
        """Guards against a gateway that is filled where its metrics are."""
        address = self.find_address(self.installation.admin[GATEWAY])
        self.check(address, SOME, *HEADS, *BODIES)

    def test_places_at_the_administration_of_a_gateway(self) -> None:
        """Guards against connections there that take a gateway's descriptors."""
        address = self.find_address(self.installation.admin[GATEWAY])
        self.check(address, ALL_PLACES, Behaviour())

    def test_heads_and_bodies_at_the_administration_of_an_agent(self) -> None:
        """Guards against an agent that is filled where its metrics are."""
        address = self.find_address(self.installation.admin[AGENT])
        self.check(address, SOME, *HEADS, *BODIES, daemon=AGENT)

    def test_places_at_the_administration_of_an_agent(self) -> None:
        """Guards against connections there that take an agent's descriptors."""
        address = self.find_address(self.installation.admin[AGENT])
        self.check(address, ALL_PLACES, Behaviour(), daemon=AGENT)

    def test_frames_at_an_agent(self) -> None:
        """Guards against an agent that is filled where gateways call it."""
        self.check(self.agent_address, SOME, *FRAMES, daemon=AGENT)

    def test_places_at_an_agent(self) -> None:
        """Guards against connections there that take an agent's descriptors."""
        self.check(
            self.agent_address,
            ALL_AGENT_PLACES,
            Behaviour(),
            daemon=AGENT,
            descriptors=MAX_AGENT_DESCRIPTORS,
        )


class TlsCrowdTests(CrowdTestCase):
    has_tls = True

    def test_heads_over_tls(self) -> None:
        """Guards against heads that fill a gateway's memory."""
        self.check(self.caller_address, FEW, *HEADS, tls=self.context)

    def test_bodies_over_tls(self) -> None:
        """Guards against bodies that fill a gateway's memory or occupy it."""
        self.check(self.caller_address, MANY, *BODIES, tls=self.context)

    def test_handshakes_that_never_begin_hold_all_places(self) -> None:
        """Guards against connections that are counted only after their handshake."""
        self.check(self.caller_address, ALL_PLACES, Behaviour())

    def test_handshakes_that_never_end_hold_all_places(self) -> None:
        """Guards against handshakes that keep their connection for their timeout."""
        begun = Behaviour(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", b"\x00", 100)
        self.check(self.caller_address, ALL_PLACES, begun)

    def test_plain_bytes_at_an_agent_with_tls(self) -> None:
        """Guards against an agent that is filled before the handshake."""
        self.check(self.agent_address, SOME, *FRAMES, daemon=AGENT)

    def test_handshakes_that_never_begin_at_an_agent(self) -> None:
        """Guards against connections there that take an agent's descriptors."""
        self.check(
            self.agent_address,
            ALL_AGENT_PLACES,
            Behaviour(),
            daemon=AGENT,
            descriptors=MAX_AGENT_DESCRIPTORS,
        )


if __name__ == "__main__":
    unittest.main()
