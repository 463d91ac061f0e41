"""Makes credentials from certificate files and reloads the files when they change.

Between processes of this system both sides present a certificate of the configured
authority. An agent accepts work only from gateways, identified by a name in their
certificate; a gateway accepts an agent whose certificate contains the IP address that
the gateway connects to. docs/design/tls.md compares the alternatives.
"""

from __future__ import annotations

import asyncio
import ssl
from ipaddress import ip_address
from pathlib import Path
from typing import TYPE_CHECKING

import grpc
import structlog

from .daemon import GRPC_OPTIONS

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bamboopier_configuration.settings import CallerTls, Tls

# Interval of checks for replaced files, which new connections then use.
CHECK_SECONDS = 5.0

log = structlog.get_logger()


class Certificates:
    """Credentials from the files of ``tls``.

    Without ``tls`` connections are plain: to loopback addresses, and to other addresses
    only if ``allow_plain`` is set.
    """

    def __init__(self, tls: Tls | None, *, allow_plain: bool = False) -> None:
        self._tls = tls
        self._allow_plain = allow_plain
        self._pem = _Pem.read(tls) if tls is not None else None
        self._contexts: list[tuple[ssl.SSLContext, CallerTls | Tls]] = []
        self._listeners: list[Callable[[], None]] = []
        self._file_states: dict[str, _FileState] = {}

    @property
    def is_enabled(self) -> bool:
        """Return whether connections use certificates."""
        return self._tls is not None

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each reload of replaced files."""
        self._listeners.append(listener)

    def open_channel(
        self, address: str, options: Sequence[tuple[str, int]] = GRPC_OPTIONS
    ) -> grpc.aio.Channel:
        """Return a channel to another process of the system."""
        if self._pem is None:
            if self._allow_plain or is_loopback(address):
                return grpc.aio.insecure_channel(address, options=options)
            # Nothing of a request is sent unencrypted: the handshake with a plain peer
            # fails, so the request certainly did not run.
            log.warning("plain connection refused", address=address)
            credentials = grpc.ssl_channel_credentials()
            return grpc.aio.secure_channel(address, credentials, options=options)
        pem = self._pem
        credentials = grpc.ssl_channel_credentials(
            pem.authority, pem.key, pem.certificate
        )
        return grpc.aio.secure_channel(address, credentials, options=options)

    def add_port(self, server: grpc.aio.Server, address: str) -> None:
        """Add a listening port to a gRPC server; peers must present a certificate."""
        if self._pem is None:
            server.add_insecure_port(address)
            return
        credentials = grpc.dynamic_ssl_server_credentials(
            self._make_server_configuration(),
            self._make_server_configuration,
            require_client_authentication=True,
        )
        server.add_secure_port(address, credentials)

    def make_client_context(self) -> ssl.SSLContext | None:
        """Return the context for HTTP to platform and target; None for plain HTTP."""
        if self._tls is None:
            return None
        context = ssl.create_default_context(cafile=self._tls.authority)
        self._load(context, self._tls)
        return context

    def make_caller_context(self, tls: CallerTls | None) -> ssl.SSLContext | None:
        """Return the context for callers' connections; None for plain HTTP."""
        if tls is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load(context, tls)
        return context

    async def follow(self) -> None:
        """Reload replaced files until cancelled.

        A file that is incomplete or does not match its key is tried again at the next
        check; connections continue to use the last valid certificate.
        """
        self._find_changes()
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if self._find_changes():
                self.reload()

    def reload(self) -> None:
        """Use the current content of the files for new connections."""
        try:
            for context, tls in self._contexts:
                context.load_cert_chain(tls.certificate, tls.key)
            if self._tls is not None:
                self._pem = _Pem.read(self._tls)
        except (OSError, ssl.SSLError) as error:
            self._file_states.clear()
            log.error("certificates not replaced", error=str(error))
            return
        log.info("certificates replaced")
        for listener in self._listeners:
            listener()

    def _make_server_configuration(self) -> grpc.ServerCertificateConfiguration:
        pem = self._pem
        assert pem is not None
        return grpc.ssl_server_certificate_configuration(
            [(pem.key, pem.certificate)], pem.authority
        )

    def _load(self, context: ssl.SSLContext, tls: CallerTls | Tls) -> None:
        context.load_cert_chain(tls.certificate, tls.key)
        self._contexts.append((context, tls))

    def _find_changes(self) -> bool:
        """Record the states of the files; return True if one differs from the last."""
        found = {name: _FileState.read(name) for name in self._list_files()}
        changed = found != self._file_states
        self._file_states = found
        return changed

    def _list_files(self) -> list[str]:
        sections = [tls for _, tls in self._contexts]
        if self._tls is not None:
            sections.append(self._tls)
        return [
            getattr(tls, field) for tls in sections for field in tls.__struct_fields__
        ]


def is_loopback(address: str) -> bool:
    """Return whether ``address`` (IP address and port) is a loopback address."""
    host = address.rpartition(":")[0].strip("[]")
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return False


class _Pem:
    """The content of the files, as bytes for gRPC."""

    __slots__ = ("authority", "certificate", "key")

    def __init__(self, certificate: bytes, key: bytes, authority: bytes) -> None:
        self.certificate = certificate
        self.key = key
        self.authority = authority

    @classmethod
    def read(cls, tls: Tls) -> _Pem:
        """Read the files of a ``tls`` section."""
        return cls(
            Path(tls.certificate).read_bytes(),
            Path(tls.key).read_bytes(),
            Path(tls.authority).read_bytes(),
        )


class _FileState(tuple[int, int]):
    """Modification time and size of a file; equal states mean an unchanged file."""

    __slots__ = ()

    @classmethod
    def read(cls, name: str) -> _FileState:
        """Return the state of a file; (0, 0) for a missing one."""
        try:
            status = Path(name).stat()
        except OSError:
            return cls((0, 0))
        return cls((status.st_mtime_ns, status.st_size))
