"""The certificate with which an operator's commands reach platform and nodes."""

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

# Names a JSON file with the same keys as "tls" in a process's settings. A variable of
# the operator's shell, for it is the same for every command and every fleet has one.
TLS_VARIABLE = "BAMBOOPIER_TLS"


@cache
def read_certificates() -> Certificates:
    """Return the operator's certificates; everything is plain without the variable."""
    name = os.environ.get(TLS_VARIABLE, "")
    if not name:
        return Certificates(None, allow_plain=True)
    answer = read_file(Path(name), Tls)
    if isinstance(answer, Err):
        fail_configuration(answer.err_value)
    fault = find_certificate_error(answer.ok_value, "$", name)
    if fault is not None:
        fail_configuration(fault)
    return Certificates(answer.ok_value)


def open_platform(url: str) -> HttpPlatform:
    """Return a client of the platform, to be used as a context manager."""
    return HttpPlatform(url, read_certificates().make_client_context())
