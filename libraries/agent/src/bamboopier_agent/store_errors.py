"""Errors of an agent's calls to store VMs, each with the reason label of its metric."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar

from bamboopier_configuration.errors import BamboopierError


class StoreFailure(StrEnum):
    """Why a block could not be read from or written to a store."""

    MISSING = "missing"
    UNREACHABLE = "unreachable"
    HUNG = "hung"
    TIMED_OUT = "late"
    FULL = "full"
    UNVERIFIED = "unproved"
    BAD_RESPONSE = "bad-answer"


class StoreError(BamboopierError):
    """Base class for errors of calls to store VMs."""

    reason: ClassVar[StoreFailure] = StoreFailure.BAD_RESPONSE


class BlockMissingError(StoreError):
    """No store VM that should have the block stores it."""

    reason = StoreFailure.MISSING


class StoreUnreachableError(StoreError):
    """No connection was established, or it broke."""

    reason = StoreFailure.UNREACHABLE


class StoreHungError(StoreError):
    """The VM sent no data in time."""

    reason = StoreFailure.HUNG


class TransferTimeoutError(StoreError):
    """The transfer, or the wait for the link's budget, took too long."""

    reason = StoreFailure.TIMED_OUT


class StoreFullError(StoreError):
    """The VM has no space left (status 507)."""

    reason = StoreFailure.FULL


class BlockVerificationError(StoreError):
    """The bytes are not the block: truncated, overwritten, damaged or another block."""

    reason = StoreFailure.UNVERIFIED


class StoreResponseError(StoreError):
    """The VM responded with an unexpected status or body."""
