"""Client certificates for platform and target, which stand-ins do not request."""

from __future__ import annotations

import asyncio
import ssl
import tempfile
import unittest
from contextlib import suppress
from pathlib import Path
from unittest import mock

import grpc
import trustme

from bamboopier_configuration.settings import Tls
from bamboopier_daemon import certificates
from bamboopier_daemon.certificates import Certificates

HOST = "127.0.0.1"


class CertificatesTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.authority = trustme.CA()
        self.authority.cert_pem.write_to_path(str(self.folder / "authority.pem"))
        self.issue(self.authority)
        self.tls = Tls(
            str(self.folder / "own.pem"),
            str(self.folder / "own.key"),
            str(self.folder / "authority.pem"),
        )
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.authority.issue_cert(HOST).configure_cert(context)
        self.authority.configure_trust(context)
        context.verify_mode = ssl.CERT_REQUIRED
        self.server = await asyncio.start_server(echo, HOST, 0, ssl=context)
        self.addAsyncCleanup(self.server.wait_closed)
        self.addCleanup(self.server.close)

    def issue(self, authority: trustme.CA) -> None:
        issued = authority.issue_cert("gateway.bamboopier")
        issued.private_key_pem.write_to_path(str(self.folder / "own.key"))
        issued.cert_chain_pems[0].write_to_path(str(self.folder / "own.pem"))

    async def reach(self, context: ssl.SSLContext | None) -> bytes:
        port = self.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, port, ssl=context)
        try:
            writer.write(b"x")
            return await reader.read(1)
        finally:
            writer.transport.abort()

    async def test_the_own_certificate_is_shown_and_the_peer_checked(self) -> None:
        context = Certificates(self.tls).make_client_context()
        self.assertEqual(await self.reach(context), b"x")
        trustme.CA().cert_pem.write_to_path(str(self.folder / "authority.pem"))
        with self.assertRaises(ssl.SSLCertVerificationError):
            await self.reach(Certificates(self.tls).make_client_context())

    async def test_replaced_files_are_used_and_invalid_ones_ignored(self) -> None:
        own = Certificates(self.tls)
        reported: list[int] = []
        own.subscribe(lambda: reported.append(1))
        context = own.make_client_context()
        (self.folder / "own.key").write_text("half written")
        own.reload()
        self.assertEqual((await self.reach(context), reported), (b"x", []))
        self.issue(trustme.CA())
        own.reload()
        self.assertEqual(reported, [1])
        # With TLS 1.3 the server refuses a certificate after the client's handshake.
        received = b""
        with suppress(ssl.SSLError, ConnectionError):
            received = await self.reach(context)
        self.assertEqual(received, b"")

    async def test_plain_channels_go_to_loopback_unless_allowed(self) -> None:
        # Guards against a gateway without certificates that sends prompts unencrypted
        # to an agent on another machine although its settings do not allow it.
        server = grpc.aio.server()
        port = server.add_insecure_port(f"{HOST}:0")
        await server.start()
        self.addAsyncCleanup(server.stop, None)
        address = f"{HOST}:{port}"
        for is_near, allowed, expected in (
            (True, False, True),
            (False, True, True),
            (False, False, False),
        ):
            with mock.patch.object(certificates, "is_loopback", return_value=is_near):
                opener = Certificates(None, allow_plain=allowed)
                async with opener.open_channel(address) as channel:
                    reached = await is_reached(channel)
            self.assertEqual(reached, expected, (is_near, allowed))
        self.assertTrue(certificates.is_loopback("[::1]:80"))
        self.assertFalse(certificates.is_loopback("10.0.0.1:80"))

    async def test_without_settings_everything_is_plain(self) -> None:
        plain = Certificates(None)
        self.assertIsNone(plain.make_client_context())
        self.assertIsNone(plain.make_caller_context(None))


async def is_reached(channel: grpc.aio.Channel) -> bool:
    state = channel.get_state(try_to_connect=True)
    while state in (grpc.ChannelConnectivity.IDLE, grpc.ChannelConnectivity.CONNECTING):
        await channel.wait_for_state_change(state)
        state = channel.get_state()
    return state is grpc.ChannelConnectivity.READY


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(await reader.read(1))
    await writer.drain()
    writer.close()
