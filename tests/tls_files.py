"""Writes valid and invalid certificates of a test certificate authority."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

import trustme

if TYPE_CHECKING:
    from pathlib import Path

HOST = "127.0.0.1"
GATEWAY_NAME = "gateway.bamboopier"
AGENT_NAME = "agent.bamboopier"


class TlsFiles:
    """A certificate authority and the files of the certificates that it signs."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.authority = trustme.CA()
        self.authority_path = folder / "authority.pem"
        self.authority.cert_pem.write_to_path(str(self.authority_path))

    def issue(
        self,
        name: str,
        *names: str,
        authority: trustme.CA | None = None,
        expired: bool = False,
    ) -> dict[str, str]:
        """Issue a certificate for ``names``; return the TLS section of the settings."""
        past = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
        issued = (authority or self.authority).issue_cert(
            *names, not_after=past if expired else None
        )
        certificate = self.folder / f"{name}.pem"
        key = self.folder / f"{name}.key"
        issued.private_key_pem.write_to_path(str(key))
        issued.cert_chain_pems[0].write_to_path(str(certificate))
        return {
            "certificate": str(certificate),
            "key": str(key),
            "authority": str(self.authority_path),
        }


def without_authority(section: dict[str, str]) -> dict[str, str]:
    """Return the section without its authority, for TLS with callers."""
    return {name: path for name, path in section.items() if name != "authority"}
