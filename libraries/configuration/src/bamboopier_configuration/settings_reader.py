"""Reads the settings of a process and checks combinations of fields."""

from __future__ import annotations

from ipaddress import ip_address
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import urlsplit

from result import Err, Result

from .certificate_check import find_certificate_error
from .errors import ConfigurationError
from .reader import format_value, read_file
from .settings import AgentSettings, GatewaySettings

if TYPE_CHECKING:
    from pathlib import Path

    from .settings import Address

_ALLOW_PLAIN_ENTRY = '"allow_plain": true'
S = TypeVar("S", GatewaySettings, AgentSettings)


def read_settings(path: Path, kind: type[S]) -> Result[S, ConfigurationError]:
    """Read and check the settings file of a process."""
    result = read_file(path, kind)
    if isinstance(result, Err):
        return result
    settings = result.ok_value
    error = (
        _find_host_error(settings.listen, "$.listen.host", str(path))
        or _find_host_error(settings.admin, "$.admin.host", str(path))
        or _find_port_error(settings, str(path))
        or _find_plain_error(settings, str(path))
        or find_certificate_error(settings.tls, "$.tls", str(path))
    )
    if error is None and isinstance(settings, GatewaySettings):
        error = find_certificate_error(settings.caller_tls, "$.caller_tls", str(path))
    return Err(error) if error is not None else result


def _find_host_error(
    address: Address, path: str, file: str
) -> ConfigurationError | None:
    try:
        ip_address(address.host)
    except ValueError:
        allowed = "an IP address such as 127.0.0.1"
        return ConfigurationError(file, path, format_value(address.host), allowed)
    return None


def _find_port_error(
    settings: GatewaySettings | AgentSettings, file: str
) -> ConfigurationError | None:
    """Refuse two uses of one port, which would fail only at the second ``listen``."""
    listen, admin = settings.listen, settings.admin
    if admin.port == 0 or admin.port != listen.port:
        return None
    hosts = {ip_address(listen.host), ip_address(admin.host)}
    if len(hosts) == 1 or any(host.is_unspecified for host in hosts):
        allowed = f"an address other than listen ({listen})"
        return ConfigurationError(file, "$.admin", str(admin), allowed)
    return None


def _find_plain_error(
    settings: GatewaySettings | AgentSettings, file: str
) -> ConfigurationError | None:
    """Refuse plain traffic between machines unless the settings allow it."""
    if settings.allow_plain:
        return None
    urls = {"$.platform_url": settings.platform_url}
    if isinstance(settings, GatewaySettings):
        section, listens_plain = "caller_tls", settings.caller_tls is None
    else:
        section, listens_plain = "tls", settings.tls is None
        urls["$.target_url"] = settings.target_url
    if listens_plain and not settings.listen.is_loopback:
        allowed = (
            f'a loopback address, certificates in "{section}", or {_ALLOW_PLAIN_ENTRY}'
        )
        return ConfigurationError(file, "$.listen", str(settings.listen), allowed)
    for path, url in urls.items():
        if url.startswith("http:") and not _is_loopback_url(url):
            allowed = f"https, a loopback address, or {_ALLOW_PLAIN_ENTRY}"
            return ConfigurationError(file, path, format_value(url), allowed)
    return None


def _is_loopback_url(url: str) -> bool:
    host = urlsplit(url).hostname or ""
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return False
