"""Errors of an agent's calls to its target."""

from __future__ import annotations

from bamboopier_configuration.errors import BamboopierError


class TargetError(BamboopierError):
    """Base class for errors of calls to the target."""


class TargetUnreachableError(TargetError):
    """No connection was established, so the target received nothing."""


class BrokenResponseError(TargetError):
    """The target was reached, but its response is missing or truncated."""


class OrderFailedError(TargetError):
    """The target reported that it failed to execute an order."""


class OrderRefusedError(TargetError):
    """The target refused an order, for example because of an old fencing token."""
