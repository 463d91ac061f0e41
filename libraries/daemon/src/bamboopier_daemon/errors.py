"""Failures of starting a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_configuration.errors import BamboopierError

if TYPE_CHECKING:
    from bamboopier_configuration.settings import Address


class ListenError(BamboopierError):
    """An address of the settings cannot be listened on.

    ``setting`` is the settings' name of the address.
    """

    def __init__(self, setting: str, address: Address, cause: str) -> None:
        super().__init__(
            f"cannot listen on {address}: {cause}; stop the process that has it or "
            f"change '{setting}' in the settings"
        )
        self.setting = setting
        self.address = address
