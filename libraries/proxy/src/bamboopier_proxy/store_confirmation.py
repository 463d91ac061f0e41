"""Confirms that this gateway knows all changes in the store, with the help of peers.

Guards against a connection to the store that goes silent: its watch would hide changes
for as long as it lasts. A gateway asks a few peers several times a second how old their
confirmations are, and has the store confirm a list only if none of them has a recent
one. Ages count from when the peers were asked, so that an answer that was delayed, here
or on its way, confirms nothing that it should not.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import zlib
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.confirmation_schedule import ConfirmationSchedule
from bamboopier_decisions.forwarding.watch_position import OMISSION_SECONDS

from .hints import FreshnessRequest, FreshnessResponse, ListConfirmation

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine
    from typing import Any

    from bamboopier_objects.object_follower import ObjectFollower

    from .gateway_state import GatewayState
    from .hints import Hint
    from .metrics import ProxyMetrics
    from .peers import Peers
    from .settings import Endpoint
    from .store_followers import StoreFollowers

# Interval between two decisions to ask, drawn up to this.
TICK_SECONDS = 0.25
# Seconds from asking peers until the store is asked for what they did not confirm: a
# few round trips within a region.
ANSWER_SECONDS = 0.02
# Number of peers that are asked at once: what one gateway confirmed reaches 340 others
# in four rounds.
ASKED_PEERS = 4
# Maximum seconds for which the configuration is not confirmed by any gateway: a store
# that fails is noticed by each gateway before entries of targets expire.
CONFIGURATION_AGE_SECONDS = 1.15
# Seconds by which the configuration is confirmed before it is too old to deny anything.
CONFIRMATION_MARGIN_SECONDS = 0.1
# Time for which an answer is accepted.
ANSWER_TIMEOUT_SECONDS = 2.0

# Key of the schedule of the configuration.
CONFIGURATION = "configuration"

log = structlog.get_logger()


class ListAnswer(StrEnum):
    """What another gateway's answer says of a list."""

    CONFIRMED = "confirmed"
    # The other gateway knows of a later change.
    NEWER = "newer"
    # It knows other objects, and of no later change: it may be behind.
    DIFFERENT = "different"


class StoreConfirmation:
    """Asks peers and the store, and answers peers."""

    def __init__(
        self,
        name: str,
        state: GatewayState,
        followers: StoreFollowers,
        peers: Peers,
        on_newer: Callable[[Endpoint], None],
        metrics: ProxyMetrics,
        random: random.Random,
    ) -> None:
        self._name = name
        self._active_configuration = state.active_configuration
        self._availability = state.availability
        self._fleet = state.fleet
        self._configuration = followers.configuration
        self._lists = {follower.prefix: follower for follower in followers.lists}
        self._peers = peers
        # Called with the address of a gateway that has a newer configuration.
        self._on_newer = on_newer
        self._metrics = metrics
        self._random = random
        for follower in followers.lists:
            age = partial(_find_age, follower)
            metrics.list_age.labels(follower.prefix).set_function(age)
        self._schedules = {
            prefix: ConfirmationSchedule(follower.max_age, random)
            for prefix, follower in self._lists.items()
        }
        self._schedules[CONFIGURATION] = ConfirmationSchedule(
            CONFIGURATION_AGE_SECONDS, random
        )
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._nonces = itertools.count(random.getrandbits(32))
        # Time at which each question was sent, by nonce.
        self._sent_at: dict[int, float] = {}

    async def run(self) -> None:
        """Ask whenever that is due, until cancelled."""
        try:
            while True:
                pause = TICK_SECONDS * self._random.uniform(0.8, 1.0)
                await asyncio.sleep(pause - ANSWER_SECONDS)
                self.ask_peers(read_clock())
                await asyncio.sleep(ANSWER_SECONDS)
                self.check(read_clock())
        finally:
            for task in self._checks.values():
                task.cancel()

    def check(self, now: float) -> None:
        """Have the store confirm what is due now."""
        self._update_order()
        self._check_configuration(now)
        for prefix, follower in self._lists.items():
            schedule, revision = self._schedules[prefix], follower.revision
            if schedule.is_check_due(now, follower.known_until, revision):
                expects_change = schedule.expects_change(revision)
                check = follower.check(expects_change=expects_change)
                self._start_check(prefix, check)

    def receive(self, hint: Hint, sender: Endpoint) -> None:
        """Handle a message of another gateway, if it concerns confirmations."""
        match hint:
            case FreshnessRequest():
                self._answer(hint, sender)
            case FreshnessResponse():
                self._apply(hint, sender)
            case _:
                pass

    def _update_order(self) -> None:
        """Let another gateway be the first to ask for each list.

        A gateway that does not know its place yet is the last.
        """
        count, index = self._fleet.gateway_count, self._fleet.gateway_index
        for name, schedule in self._schedules.items():
            rank = count - 1
            if index is not None:
                rank = (index + zlib.crc32(name.encode())) % count
            schedule.set_order(rank, count)

    def _check_configuration(self, now: float) -> None:
        configuration = self._configuration
        is_due = self._schedules[CONFIGURATION].is_check_due(
            now,
            self._find_configuration_known_until(),
            self._active_configuration.version,
            configuration.transfer_seconds,
        )
        if is_due:
            self._start_check(CONFIGURATION, configuration.check())

    def _find_configuration_known_until(self) -> float:
        """Return until when the configuration is confirmed, for the schedule.

        A watch that confirms a large one leaves its last moment open: another check
        would not confirm more, unless the configuration is soon too old to deny what it
        does not contain. A store that ends watches but accepts no calls confirms
        nothing either: it is about to lose entries of targets.
        """
        freshness = self._active_configuration.freshness
        known_until = freshness.confirmed_at
        if not self._configuration.is_small:
            oldest = CONFIGURATION_AGE_SECONDS + TICK_SECONDS
            headroom = freshness.max_denial_age - oldest - CONFIRMATION_MARGIN_SECONDS
            known_until += max(0.0, min(OMISSION_SECONDS, headroom))
        return min(known_until, self._availability.last_accepted_at)

    def _start_check(self, name: str, check: Coroutine[Any, Any, None]) -> None:
        task = self._checks.get(name)
        if task is not None and not task.done():
            check.close()
            return
        self._schedules[name].record_check()
        self._checks[name] = asyncio.create_task(check)

    def _is_query_due(self, now: float) -> bool:
        if self._active_configuration.version == 0:
            return False
        known_until = {p: f.known_until for p, f in self._lists.items()}
        known_until[CONFIGURATION] = self._find_configuration_known_until()
        return any(
            schedule.is_query_due(now, known_until[name])
            for name, schedule in self._schedules.items()
        )

    def ask_peers(self, now: float) -> None:
        """Ask a few peers if a confirmation is not recent."""
        if not self._is_query_due(now):
            return
        expired = [
            n for n, at in self._sent_at.items() if now - at > ANSWER_TIMEOUT_SECONDS
        ]
        for nonce in expired:
            del self._sent_at[nonce]
        nonce = next(self._nonces)
        self._sent_at[nonce] = now
        for peer in self._peers.sample_peers(ASKED_PEERS):
            self._peers.send(FreshnessRequest(self._name, nonce), peer)

    def _answer(self, request: FreshnessRequest, sender: Endpoint) -> None:
        version = self._active_configuration.version
        if version == 0:
            return
        now = read_clock()
        confirmations = [
            ListConfirmation(
                f.prefix, f.changed_revision, _round_age(now, f), f.fingerprint
            )
            for f in self._lists.values()
            if f.loaded.is_set()
        ]
        # Rounded up: no confirmation must look younger than it is.
        age = self._active_configuration.freshness.find_age(now)
        store_age = now - self._availability.last_accepted_at
        response = FreshnessResponse(
            request.nonce,
            version,
            int(age * 1000) + 1,
            confirmations,
            int(store_age * 1000) + 1 if math.isfinite(store_age) else None,
        )
        self._peers.send(response, sender)

    def _apply(self, response: FreshnessResponse, sender: Endpoint) -> None:
        sent_at = self._sent_at.get(response.nonce)
        if sent_at is None:
            return
        if response.store_age_ms is not None:
            accepted_at = sent_at - response.store_age_ms / 1000
            self._availability.record_response(accepted_at, accepted_at)
        for confirmation in response.lists:
            follower = self._lists.get(confirmation.prefix)
            if follower is not None:
                schedule = self._schedules[confirmation.prefix]
                outcome = apply_list(
                    read_clock(), sent_at, follower, schedule, confirmation
                )
                labels = follower.prefix, outcome
                self._metrics.list_answers.labels(*labels).inc()
        self._apply_configuration(sent_at, response, sender)

    def _apply_configuration(
        self, sent_at: float, response: FreshnessResponse, sender: Endpoint
    ) -> None:
        if response.version > self._active_configuration.version:
            schedule = self._schedules[CONFIGURATION]
            known = self._active_configuration.version
            schedule.record_newer(read_clock(), response.version, known)
            self._on_newer(sender)
            return
        self._active_configuration.confirm(
            response.version, sent_at - response.age_ms / 1000
        )


def apply_list(
    now: float,
    sent_at: float,
    follower: ObjectFollower,
    schedule: ConfirmationSchedule,
    found: ListConfirmation,
) -> ListAnswer:
    """Apply what a gateway that was asked at ``sent_at`` knows of a list.

    Only a gateway that knows the same objects confirms them. Guards against one that
    learned of a removal by listing, after which no object shows that it was made. If
    another one knows of a later change, that is expected here.
    """
    if found.fingerprint == follower.fingerprint:
        follower.confirm(sent_at - found.age_ms / 1000)
        return ListAnswer.CONFIRMED
    if found.changed_revision > follower.revision:
        if schedule.record_newer(now, found.changed_revision, follower.revision):
            log.info(
                "list changed at another gateway",
                prefix=follower.prefix,
                revision=follower.revision,
                changed_revision=found.changed_revision,
                known_age=round(now - follower.known_until, 3),
            )
        return ListAnswer.NEWER
    return ListAnswer.DIFFERENT


def _find_age(follower: ObjectFollower) -> float:
    return read_clock() - follower.known_until


def _round_age(now: float, follower: ObjectFollower) -> int:
    """Return the age of what is known in milliseconds, rounded up."""
    return int((now - follower.known_until) * 1000) + 1
