"""Failures of calls to the platform."""

from __future__ import annotations

from bamboopier_configuration.errors import BamboopierError


class PlatformError(BamboopierError):
    """Base of the platform's failures."""


class PlatformUnavailableError(PlatformError):
    """The call certainly had no effect: it was refused or never sent."""


class PlatformOutcomeUnknownError(PlatformError):
    """The call was sent and its answer lost; it may have taken effect."""


class VersionConflictError(PlatformError):
    """A conditional update met another version than expected."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(f"{key}: expected version {expected}, found {found}")
        self.key = key
        self.expected = expected
        self.found = found


class ValueTooLargeError(PlatformError):
    """The platform holds values up to a megabyte."""


class WatchGapError(PlatformError):
    """Changes after the asked revision are no longer known; read again."""


class MalformedObjectError(PlatformError):
    """An object's content is not what this program writes there."""
