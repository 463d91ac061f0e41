"""Converts errors of listening on an address of the settings."""

from __future__ import annotations

import os
from contextlib import contextmanager
from typing import TYPE_CHECKING

from .errors import ListenError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bamboopier_configuration.settings import Address


@contextmanager
def convert_listen_errors(setting: str, address: Address) -> Iterator[None]:
    """Convert the errors of libraries for a port in use into a ``ListenError``.

    asyncio raises ``OSError``, gRPC a ``RuntimeError`` with its own text.
    """
    try:
        yield
    except OSError as error:
        cause = os.strerror(error.errno).lower() if error.errno else str(error)
        raise ListenError(setting, address, cause) from error
    except RuntimeError as error:
        raise ListenError(setting, address, "address already in use") from error
