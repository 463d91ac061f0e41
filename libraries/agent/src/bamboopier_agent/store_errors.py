"""Failures an agent meets at store VMs; each names the reason that metrics count."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar

from bamboopier_configuration.errors import BamboopierError


class StoreFailure(StrEnum):
    """Why a block was not had from, or not put into, a store."""

    MISSING = "missing"
    UNREACHABLE = "unreachable"
    HUNG = "hung"
    TIMED_OUT = "late"
    FULL = "full"
    UNVERIFIED = "unproved"
    BAD_RESPONSE = "bad-answer"


class StoreError(BamboopierError):
    """Base of the failures of calls to store VMs."""

    reason: ClassVar[StoreFailure] = StoreFailure.BAD_RESPONSE


class BlockMissingError(StoreError):
    """No store VM that should have the block has it."""

    reason = StoreFailure.MISSING


class StoreUnreachableError(StoreError):
    """No connection, or it broke."""

    reason = StoreFailure.UNREACHABLE


class StoreHungError(StoreError):
    """The VM did not begin to answer in time."""

    reason = StoreFailure.HUNG


class TransferTimeoutError(StoreError):
    """The bytes, or the link's budget for them, came too slowly to be of use."""

    reason = StoreFailure.TIMED_OUT


class StoreFullError(StoreError):
    """The VM has no space (507)."""

    reason = StoreFailure.FULL


class BlockVerificationError(StoreError):
    """The bytes are not the block: torn, reused, damaged or someone else's."""

    reason = StoreFailure.UNVERIFIED


class StoreResponseError(StoreError):
    """The VM answered with a status or a body that has no meaning here."""
