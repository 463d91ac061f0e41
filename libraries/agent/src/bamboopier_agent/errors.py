"""Failures an agent meets at its target."""

from __future__ import annotations

from bamboopier_configuration.errors import BamboopierError


class TargetError(BamboopierError):
    """Base of the failures of calls to the target."""


class TargetUnreachableError(TargetError):
    """No connection was made: the target received nothing."""


class BrokenResponseError(TargetError):
    """The target was reached and its answer is missing or cut."""


class OrderFailedError(TargetError):
    """The target answered that it could not carry an order out."""


class OrderRefusedError(TargetError):
    """The target refused an order, for instance for its old fencing number."""
