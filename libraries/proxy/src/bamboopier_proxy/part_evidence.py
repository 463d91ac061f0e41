"""Exchanges between gateways which parts of prompts crash targets.

Load pattern: a target ends with up to a hundred requests of all gateways, each with
some parts, and further targets end within the second. Each gateway knows the parts of
its own requests only. Records go to all other gateways of a small installation; in a
large one to some, among them the three that all gateways select for a part, which so
learn of all its ends. Whoever refuses a part tells others.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.quarantine.part_crashes import NEVER

from .hints import PartHint
from .part_outbox import PartOutbox, make_crash, make_refused, make_refused_hint

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from bamboopier_decisions.quarantine.crashing_parts import (
        CrashingParts,
        RefusedPart,
    )
    from bamboopier_decisions.quarantine.part_crashes import PartCrash

    from .hints import Hint, RefusedPartHint
    from .messages import Call
    from .peers import Peers
    from .settings import Endpoint

# Interval between messages while there is something to tell.
INTERVAL_SECONDS = 0.25
# Maximum number of refused parts in one message, so that it fits a datagram.
MAX_REFUSED = 8
# Number of gateways that all select for a part, and of those that are told at each
# interval what is refused.
SELECTED_PEERS = 3
REFUSED_PEERS = 2
# Maximum number of peers that are told of an end, besides the selected ones.
MAX_PEERS = 8

log = structlog.get_logger()


class PartRefusal(msgspec.Struct, frozen=True):
    """Why a request is refused, and the seconds until that may end."""

    message: str
    seconds: float


class PartEvidence:
    """Evidence against parts, and what gateways tell each other of it."""

    def __init__(
        self,
        name: str,
        parts: CrashingParts,
        peers: Peers,
        is_selected: Callable[[bytes], bool],
        random: random.Random,
    ) -> None:
        self._name = name
        self._parts = parts
        self._peers = peers
        # Returns whether this gateway is the one that tries a refused part.
        self._is_selected = is_selected
        self._random = random
        self._outbox = PartOutbox(parts)
        # Parts whose refusal was logged.
        self._logged: set[bytes] = set()

    def record_crashes(self, crashes: Iterable[PartCrash]) -> None:
        """Record targets that ended with requests here, and tell others at once."""
        now = read_clock()
        news = self._parts.record_crashes(now, crashes)
        if not news:
            return
        self._outbox.add_crashes(news)
        self._handle_news(now, news, self._name)
        self._send(now)

    def record_completed(self, parts: Iterable[bytes], completed_at: float) -> None:
        """Record that a target completed a request with these parts."""
        now = read_clock()
        cleared = self._parts.record_completed(now, parts, completed_at)
        if not cleared:
            return
        self._log_refused(now)
        self._outbox.add_completed(now, cleared)
        if self._outbox.has_completed:
            self._send(now)

    def find_refusal(self, call: Call) -> PartRefusal | None:
        """Return why a request is refused for a part; None if it is not.

        One request may try a refused part now and then.
        """
        now = read_clock()
        refused = self._parts.find_refused(now, call.parts)
        if not refused or self._is_trial(now, call, refused):
            return None
        first = refused[0]
        name = _find_name(call, first.part)
        message = (
            f"part {name} of this prompt crashes the targets that begin a response "
            f"on it (fingerprint {first.part.hex()})"
        )
        return PartRefusal(message, self._parts.find_wait(now, first))

    async def run(self) -> None:
        """Tell others until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            now = read_clock()
            self._log_refused(now)
            self._send(now)
            self._send_refused(now)

    def receive(self, hint: Hint, sender: Endpoint) -> None:
        """Apply a message of another gateway, if it concerns parts."""
        if not isinstance(hint, PartHint):
            return
        now = read_clock()
        for completed in hint.completed:
            self._parts.record_completed(
                now, [completed.part], now - completed.age / 1000
            )
        crashes = [make_crash(now, crash) for crash in hint.crashes]
        news = self._parts.record_crashes(now, crashes)
        for entry in hint.refused:
            self._apply_refused(now, entry, hint.sender)
        self._handle_news(now, news, hint.sender)
        # The sender may lack completions that are known here.
        told = [c.part for c in hint.crashes] + [r.part for r in hint.refused]
        self._outbox.add_completed(now, told)
        if self._outbox.has_completed:
            self._send(now)

    def _is_trial(self, now: float, call: Call, refused: list[RefusedPart]) -> bool:
        if call.is_trial:
            return not call.may_have_run
        part = refused[0].part
        if len(refused) > 1 or call.may_have_run:
            return False
        # Every gateway follows the times, so that another one can take over.
        is_due = self._parts.start_trial(now, part)
        call.is_trial = is_due and self._is_selected(part)
        if call.is_trial:
            log.info("refused part tried", part=part.hex(), request_id=call.request_id)
        return call.is_trial

    def _apply_refused(self, now: float, entry: RefusedPartHint, sender: str) -> None:
        if self._parts.add_shared(make_refused(now, entry)):
            log.warning(
                "part quarantined by another gateway",
                part=entry.part.hex(),
                gateway=sender,
                seconds=round(entry.remaining / 1000, 1),
            )

    def _handle_news(self, now: float, news: list[PartCrash], seen_by: str) -> None:
        """Log new evidence, and tell completions that contradict it."""
        self._outbox.add_completed(now, [crash.part for crash in news])
        if news:
            log.info(
                "crashes of parts recorded",
                target=news[0].target,
                seen_by=seen_by,
                parts=len(news),
                ended_seconds_ago=round(now - news[0].ended_at, 3),
            )
        self._log_refused(now)

    def _log_refused(self, now: float) -> None:
        """Log which parts are refused from now on, and which are not any more."""
        refused = {entry.part: entry for entry in self._parts.list_refused_parts(now)}
        for part in refused.keys() - self._logged:
            log.warning(
                "part quarantined",
                part=part.hex(),
                crashed_targets=self._parts.count_targets(part),
                first_ended_seconds_ago=round(now - refused[part].first_ended_at, 3),
                seconds=round(refused[part].until - now, 1),
            )
        for part in self._logged - refused.keys():
            completed_at = self._parts.find_completed(part)
            log.warning(
                "part no longer quarantined",
                part=part.hex(),
                completed_seconds_ago=round(now - completed_at, 3)
                if completed_at > NEVER
                else None,
            )
        self._logged = set(refused)

    def _send(self, now: float) -> None:
        """Send what is due, each record to the gateways that should know it."""
        crashes = self._outbox.take_crashes(now)
        completed = self._outbox.take_completed(now)
        if not crashes and not completed:
            return
        messages: dict[Endpoint, PartHint] = {}
        sampled = self._peers.sample_peers(MAX_PEERS)

        def list_messages(part: bytes) -> list[PartHint]:
            peers = {*sampled, *self._peers.select_peers(part, SELECTED_PEERS)}
            return [
                messages.setdefault(peer, PartHint(self._name, [], [], []))
                for peer in peers
            ]

        for crash in crashes:
            for message in list_messages(crash.part):
                message.crashes.append(crash)
        for entry in completed:
            for message in list_messages(entry.part):
                message.completed.append(entry)
        for peer, message in messages.items():
            self._peers.send(message, peer)

    def _send_refused(self, now: float) -> None:
        """Tell some others what is refused; a random sample each time if it is much."""
        refused = self._parts.list_refused_parts(now)
        if not refused:
            return
        if len(refused) > MAX_REFUSED:
            refused = self._random.sample(refused, MAX_REFUSED)
        hints = [make_refused_hint(now, entry) for entry in refused]
        message = PartHint(self._name, [], [], hints)
        for peer in self._peers.sample_peers(REFUSED_PEERS):
            self._peers.send(message, peer)


def _find_name(call: Call, part: bytes) -> str:
    if call.prompt is None:
        return ""
    return call.prompt.parts[call.parts.index(part)].name
