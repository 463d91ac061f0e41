"""Errors at the start of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_configuration.errors import BamboopierError

if TYPE_CHECKING:
    from bamboopier_configuration.settings import Address


class ListenError(BamboopierError):
    """The process cannot listen on an address of the settings.

    ``setting`` is the key of the address in the settings.
    """

    def __init__(self, setting: str, address: Address, cause: str) -> None:
        super().__init__(
            f"cannot listen on {address}: {cause}; stop the process that uses it or "
            f"change '{setting}' in the settings"
        )
        self.setting = setting
        self.address = address
