"""TLS credentials that the commands use towards the platform and the nodes."""

from __future__ import annotations

import os
from functools import cache
from pathlib import Path

from result import Err

from bamboopier_configuration.certificate_check import find_certificate_error
from bamboopier_configuration.reader import read_file
from bamboopier_configuration.settings import Tls
from bamboopier_daemon.certificates import Certificates
from bamboopier_objects.http_platform import HttpPlatform

from .exit_codes import fail_configuration

# Path of a JSON file with the same keys as "tls" in a process's settings. This is an
# environment variable because every command uses the same file and a fleet has one.
TLS_VARIABLE = "BAMBOOPIER_TLS"


@cache
def read_certificates() -> Certificates:
    """Return the operator's certificates; without the variable, use no TLS."""
    name = os.environ.get(TLS_VARIABLE, "")
    if not name:
        return Certificates(None, allow_plain=True)
    result = read_file(Path(name), Tls)
    if isinstance(result, Err):
        fail_configuration(result.err_value)
    error = find_certificate_error(result.ok_value, "$", name)
    if error is not None:
        fail_configuration(error)
    return Certificates(result.ok_value)


def open_platform(url: str) -> HttpPlatform:
    """Return a platform client, which is a context manager."""
    return HttpPlatform(url, read_certificates().make_client_context())
