"""Replays targets that end, by themselves and under a bad part, with sound sessions."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bamboopier_decisions.quarantine.crashing_parts import (
    SURVIVAL_SECONDS,
    CrashingParts,
)
from bamboopier_decisions.quarantine.part_crashes import PartCrash

if TYPE_CHECKING:
    from collections.abc import Iterator

BAD = b"bad"
STEP = 0.02
# Seconds until a response begins, and from then until a bad part ends its target.
BEGIN_SECONDS = 0.15
CRASH_SECONDS = (0.05, 0.15)
RESTART_SECONDS = (1.0, 4.0)
# Kinds of requests, each with a first part of its own, and its sessions.
KINDS, SESSIONS = 4, 200
MAX_ATTEMPTS = 2
SECONDS = 120.0
# Sound requests are to be served at least half as often as without such trouble.
MAX_REFUSED_SHARE = 0.5


@dataclass
class Running:
    """A request at a target."""

    name: bytes
    parts: tuple[bytes, ...]
    sent_at: float
    ends_at: float
    attempt: int = 1


@dataclass
class Target:
    """An address at which targets run one after another."""

    number: int
    instance: int = 0
    down_until: float = 0.0
    running: list[Running] = field(default_factory=list)


class EndingTargets:
    """Targets before one gateway that sees all that happens."""

    def __init__(self, seed: int, targets: int, durations: tuple[float, float]) -> None:
        self.random = random.Random(seed)
        self.parts = CrashingParts()
        self.targets = [Target(number) for number in range(targets)]
        self.durations = durations
        self.now = 100.0
        self.sent = 0
        # Sound requests, and those of them that were refused, by kind.
        self.asked_by_kind, self.refused_by_kind = [0] * KINDS, [0] * KINDS
        self.bad_runs = 0
        # For how long each sound part was refused.
        self.refused_seconds: dict[bytes, float] = {}

    def run(self, seconds: float, rate: float, ends: float, bad_rate: float) -> None:
        """Play requests, ends of targets by themselves, and bad requests a second."""
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            for _ in self._draw(rate):
                kind = self.random.randrange(KINDS)
                session = min(int(self.random.paretovariate(0.8)), SESSIONS)
                self.asked_by_kind[kind] += 1
                self.refused_by_kind[kind] += not self._ask(
                    (b"f%d" % kind, b"s%d-%d" % (kind, session))
                )
            for _ in self._draw(bad_rate):
                self._ask((b"f0", BAD))
            for target in self.targets:
                self._advance(target)
            for _ in self._draw(ends):
                self._end(self.random.choice(self.targets))
            for entry in self.parts.list_refused_parts(self.now):
                if entry.part != BAD:
                    known = self.refused_seconds.get(entry.part, 0.0)
                    self.refused_seconds[entry.part] = known + STEP

    @property
    def refused_share(self) -> float:
        """Return the share of the sound requests that were refused."""
        return sum(self.refused_by_kind) / sum(self.asked_by_kind)

    def _draw(self, per_second: float) -> Iterator[None]:
        expected = per_second * STEP
        count = int(expected) + (self.random.random() < expected % 1)
        return iter([None] * count)

    def _ask(self, parts: tuple[bytes, ...]) -> bool:
        """Send a request unless it is refused; return whether it was sent."""
        refused = self.parts.find_refused(self.now, parts)
        if refused and not (
            len(refused) == 1 and self.parts.start_trial(self.now, refused[0].part)
        ):
            return False
        self.sent += 1
        self._send(b"r%d" % self.sent, parts, 1)
        return True

    def _send(self, name: bytes, parts: tuple[bytes, ...], attempt: int) -> None:
        up = [t for t in self.targets if t.down_until <= self.now]
        if not up:
            return
        is_bad = BAD in parts
        self.bad_runs += is_bad
        seconds = self.random.uniform(*(CRASH_SECONDS if is_bad else self.durations))
        ends_at = self.now + BEGIN_SECONDS + seconds
        running = Running(name, parts, self.now, ends_at, attempt)
        self.random.choice(up).running.append(running)

    def _advance(self, target: Target) -> None:
        for request in target.running:
            age = self.now - request.sent_at - BEGIN_SECONDS
            if SURVIVAL_SECONDS <= age < SURVIVAL_SECONDS + STEP:
                self.parts.record_completed(self.now, request.parts, self.now)
        done = [r for r in target.running if r.ends_at <= self.now]
        if any(BAD in request.parts for request in done):
            self._end(target)
            return
        for request in done:
            target.running.remove(request)
            self.parts.record_completed(self.now, request.parts, self.now)

    def _end(self, target: Target) -> None:
        lost, target.running = target.running, []
        name = f"{target.number}-{target.instance}"
        target.instance += 1
        target.down_until = self.now + self.random.uniform(*RESTART_SECONDS)
        survived = {
            part
            for request in lost
            if self.now - request.sent_at - BEGIN_SECONDS >= SURVIVAL_SECONDS
            for part in request.parts
        }
        self.parts.record_completed(self.now, survived, self.now)
        self.parts.record_crashes(
            self.now,
            [
                PartCrash(part, request.name, name, request.sent_at, self.now)
                for request in lost
                for part in request.parts
                if part not in survived
            ],
        )
        for request in lost:
            if request.attempt < MAX_ATTEMPTS and not self.parts.find_refused(
                self.now, request.parts
            ):
                self._send(request.name, request.parts, request.attempt + 1)


class EndingTargetTests(unittest.TestCase):
    def test_targets_that_end_by_themselves_make_no_shared_part_a_culprit(self) -> None:
        # Guards against first parts, and sessions of many callers, that are refused for
        # minutes since targets end one after the other, for whatever reason.
        for durations in ((0.05, 0.3), (0.2, 3.0), (1.0, 8.0)):
            for seed in range(3):
                with self.subTest(durations=durations, seed=seed):
                    play = EndingTargets(seed, 6, durations)
                    play.run(SECONDS, rate=60.0, ends=1.0, bad_rate=0.0)
                    self.assertLess(play.refused_share, 0.05)
                    for kind in range(KINDS):
                        seconds = play.refused_seconds.get(b"f%d" % kind, 0.0)
                        self.assertLess(seconds, 3.0)
                    longest = max(play.refused_seconds.values(), default=0.0)
                    self.assertLess(longest, MAX_REFUSED_SHARE * SECONDS)

    def test_a_bad_part_ends_few_targets_and_no_sound_part_is_refused(self) -> None:
        # Guards against a bad part that is not found among many sound ones, and against
        # sound ones that are refused with it.
        for bad_rate in (1.0, 4.0, 20.0):
            for seed in range(3):
                with self.subTest(bad_rate=bad_rate, seed=seed):
                    play = EndingTargets(seed, 20, (0.2, 3.0))
                    play.run(10.0, rate=150.0, ends=0.0, bad_rate=0.0)
                    play.run(80.0, rate=150.0, ends=0.2, bad_rate=bad_rate)
                    # Two for each of five requests, those under way, and two trials.
                    self.assertLessEqual(play.bad_runs, 10 + bad_rate * 0.5 + 4)
                    self.assertLess(play.refused_share, 0.05)

    def test_a_bad_part_of_the_first_seconds_leaves_sound_requests_served(self) -> None:
        # Guards against a first part that stays refused, since nothing with it had
        # completed when all targets ended.
        for seed in range(5):
            with self.subTest(seed=seed):
                play = EndingTargets(seed, 6, (1.0, 8.0))
                play.run(SECONDS, rate=60.0, ends=0.5, bad_rate=10.0)
                for asked, refused in zip(
                    play.asked_by_kind, play.refused_by_kind, strict=True
                ):
                    self.assertLess(refused / asked, MAX_REFUSED_SHARE)


if __name__ == "__main__":
    unittest.main()
