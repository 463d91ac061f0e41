"""Checks certificate files, so that an invalid one is reported at process start."""

from __future__ import annotations

import ssl
from pathlib import Path
from typing import TYPE_CHECKING

from .errors import ConfigurationError

if TYPE_CHECKING:
    from .settings import CallerTls, Tls


def find_certificate_error(
    tls: CallerTls | Tls | None, path: str, file: str
) -> ConfigurationError | None:
    """Return the first error in the certificate files of the settings at ``path``."""
    if tls is None:
        return None
    for field in tls.__struct_fields__:
        fault = _find_read_error(getattr(tls, field))
        if fault:
            allowed = "a readable PEM file"
            return ConfigurationError(file, f"{path}.{field}", fault, allowed)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(tls.certificate, tls.key, password=_refuse_password)
    except (ssl.SSLError, ValueError) as error:
        found = f"certificate '{tls.certificate}' with key '{tls.key}' ({error})"
        allowed = "a PEM certificate and its own PEM key without a password"
        return ConfigurationError(file, path, found, allowed)
    authority = getattr(tls, "authority", None)
    if authority is None:
        return None
    try:
        context.load_verify_locations(authority)
    except ssl.SSLError as error:
        found = f"'{authority}' ({error})"
        return ConfigurationError(file, f"{path}.authority", found, "PEM certificates")
    return None


def _find_read_error(name: str) -> str:
    try:
        Path(name).read_bytes()
    except OSError as error:
        return f"'{name}' ({error.strerror})"
    return ""


def _refuse_password() -> str:
    """Keep OpenSSL from prompting for the password of a key."""
    raise ValueError("the key has a password")
