"""Errors of calls to the platform."""

from __future__ import annotations

from bamboopier_configuration.errors import BamboopierError


class PlatformError(BamboopierError):
    """Base class of the errors of platform calls."""


class PlatformUnavailableError(PlatformError):
    """The call certainly had no effect: it was refused or never sent."""


class NotConnectedError(PlatformUnavailableError):
    """No connection could be made, so the call was never sent."""


class PlatformOutcomeUnknownError(PlatformError):
    """The call was sent, but its response was lost; it may have taken effect."""


class VersionConflictError(PlatformError):
    """A conditional update found another version than the expected one."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(f"{key}: expected version {expected}, found {found}")
        self.key = key
        self.expected = expected
        self.found = found


class ValueTooLargeError(PlatformError):
    """The value is larger than the megabyte that the platform accepts."""


class ResponseTooLargeError(PlatformError):
    """The body of a response is longer than the caller reads; the rest was dropped."""


class WatchGapError(PlatformError):
    """Changes after the requested revision are unavailable; read the state again."""


class MalformedObjectError(PlatformError):
    """The content of an object does not have the expected format."""


# Errors that a response shows: the platform serves this process, whatever it said.
RESPONSE_ERRORS = (WatchGapError, MalformedObjectError, ResponseTooLargeError)
