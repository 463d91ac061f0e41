"""Client certificates towards platform and target, which stand-ins do not ask for."""

from __future__ import annotations

import asyncio
import ssl
import tempfile
import unittest
from contextlib import suppress
from pathlib import Path

import trustme

from bamboopier_configuration.settings import Tls
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

    async def test_replaced_files_are_used_and_broken_ones_left(self) -> None:
        certificates = Certificates(self.tls)
        told: list[int] = []
        certificates.tell(lambda: told.append(1))
        context = certificates.make_client_context()
        (self.folder / "own.key").write_text("half written")
        certificates.reload()
        self.assertEqual((await self.reach(context), told), (b"x", []))
        self.issue(trustme.CA())
        certificates.reload()
        self.assertEqual(told, [1])
        # With TLS 1.3 the server's refusal comes after the client's handshake.
        received = b""
        with suppress(ssl.SSLError, ConnectionError):
            received = await self.reach(context)
        self.assertEqual(received, b"")

    async def test_without_settings_everything_is_plain(self) -> None:
        certificates = Certificates(None)
        self.assertIsNone(certificates.make_client_context())
        self.assertIsNone(certificates.make_caller_context(None))


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(await reader.read(1))
    await writer.drain()
    writer.close()
