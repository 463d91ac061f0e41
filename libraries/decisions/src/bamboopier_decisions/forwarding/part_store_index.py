"""Which parts of prompts lie whole in a store, and may be read from there.

Load pattern: prompts that share long beginnings return to engines that have evicted
them. Reading 8,600 tokens anew takes an engine 77 ms, during which it reads nothing
else; fetching them over a store's link takes 25 ms and leaves the engine free.

Failures answered. A store that restarts has lost everything, and what is then written
there again is not whole at first: a fetch in that moment would read a part of a part.
So a belief is good only for a while after the store last answered under the same start,
an engine is told until when it may fetch, and nothing is written to a store until its
start has been known for longer than that.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..routing.rendezvous import compute_weight

# Seconds after a store's last answer for which beliefs hold: two questions and the
# pause between them, so that one answer that is late changes nothing.
UPDATE_VALID_SECONDS = 1.6
# Seconds after a store's start was first seen before anything is written there. It is
# longer than the trust in an answer, so that fetches from before the start have ended.
SAVE_HOLD_OFF_SECONDS = 2.5
# A store is taken for full at this share of its room: what does not fit is lost.
MAX_FILL_SHARE = 0.97
# Parts below this many tokens are read anew: a fetch waits some ms before it begins.
MIN_FETCH_TOKENS = 100
# Changes of a store that are kept to be handed on; who is behind further gets all.
MAX_CHANGES = 2000
# A save that does not show within so many seconds may be tried again.
SAVE_RETRY_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class PartChange:
    """A part that now lies whole in a store, or no longer does."""

    scope: str
    part: str
    # Tokens stored; 0 once it is gone.
    tokens: int


@dataclass(frozen=True, slots=True)
class PartUpdate:
    """One answer of a store."""

    # Changes at each start.
    epoch: int
    # Milliseconds on the clock that engines and stores share; 0 if it was not told.
    clock_ms: int
    changes: tuple[PartChange, ...]
    # ``changes`` are all parts there, not those since the last answer.
    is_snapshot: bool = False
    # Seconds for which this start was known to whoever handed the answer on.
    epoch_known_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class PartPlan:
    """Where an engine fetches and saves each part of a prompt; empty for nowhere."""

    fetch: tuple[str, ...]
    save: tuple[str, ...]
    # Milliseconds on the engines' clock; a later fetch is thrown away. 0 for no fetch.
    fetch_deadline_ms: int

    @property
    def fetched_parts(self) -> int:
        """Return how many parts are fetched."""
        return sum(1 for address in self.fetch if address)


class PartStore:
    """What is believed of one store."""

    __slots__ = (
        "_changes",
        "_confirmed_at",
        "_stored_tokens",
        "_parts",
        "_saving",
        "_epoch_seen_at",
        "address",
        "capacity",
        "clock_ms",
        "epoch",
        "position",
    )

    def __init__(self, address: str, capacity: int) -> None:
        self.address = address
        # Tokens it has room for.
        self.capacity = capacity
        # Of the start that is believed in; 0 for none.
        self.epoch = 0
        # When this start was first seen, never too early, and when it answered last,
        # never too late: in doubt saves begin later, and trust ends sooner.
        self._epoch_seen_at = float("inf")
        self._confirmed_at = float("-inf")
        # Of the last answer, also of a start that is no longer believed in.
        self.clock_ms = 0
        # Changes counted since this start was first seen here, and the last of them.
        self.position = 0
        self._changes: deque[PartChange] = deque(maxlen=MAX_CHANGES)
        self._parts: dict[tuple[str, str], int] = {}
        # Parts sent there, and when.
        self._saving: dict[tuple[str, str], float] = {}
        self._stored_tokens = 0

    @property
    def parts(self) -> int:
        """Return the number of parts believed to lie there."""
        return len(self._parts)

    @property
    def stored_tokens(self) -> int:
        """Return the tokens believed to lie there."""
        return self._stored_tokens

    def apply_update(self, sent_at: float, read_at: float, update: PartUpdate) -> bool:
        """Take an answer asked for and read at these times; True for a new start.

        Failure answered: a gateway is suspended for seconds with a question open, in
        which the store begins anew. Dated by the question, that start would be old
        enough to be written to at once, while others still fetch what lay there before:
        they could read half a part. It began before the answer was read, so that what
        counts from then on waits long enough.
        """
        restarted = update.epoch != self.epoch
        if restarted:
            self._forget()
            self.epoch = update.epoch
            self._epoch_seen_at = read_at
        elif update.is_snapshot:
            self._forget()
        self._epoch_seen_at = min(
            self._epoch_seen_at, read_at - update.epoch_known_seconds
        )
        self._confirmed_at = max(self._confirmed_at, sent_at)
        self.clock_ms = update.clock_ms
        for change in update.changes:
            self._apply(change)
        return restarted

    def is_outdated(self, update: PartUpdate) -> bool:
        """Say whether news that were handed on are of a start before the known one.

        Failure answered: a gateway heard of a store's new start, and then asks one that
        has not. Taken as news, the former start would be believed in again, with parts
        that are lost, and for so long known that it may be written to at once.

        An epoch orders nothing. Both answers name the clock of all stores at their
        making, and no answer of a start is made after one of the next: one with an
        earlier time and another epoch is of a start before. If that clock jumps back, a
        start is taken later by as much, and prompts are read anew meanwhile.
        """
        return update.epoch != self.epoch and update.clock_ms < self.clock_ms

    def invalidate(self) -> None:
        """Take in that a call failed: the store may be starting anew."""
        self._forget()
        self.epoch = 0
        self._epoch_seen_at = float("inf")
        self._confirmed_at = float("-inf")

    def is_current(self, now: float) -> bool:
        """Say whether beliefs still hold."""
        return now - self._confirmed_at < UPDATE_VALID_SECONDS

    def can_save(self, now: float, tokens: int) -> bool:
        """Say whether a part of so many tokens may be written."""
        settled = now - self._epoch_seen_at >= SAVE_HOLD_OFF_SECONDS
        has_headroom = self._stored_tokens + tokens <= self.capacity * MAX_FILL_SHARE
        return settled and has_headroom and self.is_current(now)

    def contains(self, scope: str, part: str, tokens: int) -> bool:
        """Say whether the whole part lies there."""
        return self._parts.get((scope, part)) == tokens

    def is_saving(self, now: float, scope: str, part: str) -> bool:
        """Say whether the part was sent there a moment ago."""
        sent = self._saving.get((scope, part))
        return sent is not None and now - sent < SAVE_RETRY_SECONDS

    def record_save(self, now: float, scope: str, part: str) -> None:
        """Take in that an engine is told to write the part."""
        self._saving[scope, part] = now

    def find_age(self, now: float) -> float:
        """Return the seconds since the store answered last."""
        return now - self._confirmed_at

    @property
    def epoch_known_seconds(self) -> float:
        """Return for how long this start had been known as the last answer was asked.

        It is below 0 as long as only the answer that told of the start is known.
        """
        return self._confirmed_at - self._epoch_seen_at

    def list_changes(self, position: int) -> list[PartChange] | None:
        """Return the changes after ``position``; None when they are not known."""
        count = self.position - position
        if position < 0 or not 0 <= count <= len(self._changes):
            return None
        return list(self._changes)[len(self._changes) - count :]

    def list_parts(self) -> list[PartChange]:
        """Return all parts believed to lie there."""
        return [PartChange(*key, tokens) for key, tokens in self._parts.items()]

    def find_fetch_deadline_ms(self, now: float) -> int:
        """Return until when a fetch may go on, on the engines' clock."""
        left = self._confirmed_at + UPDATE_VALID_SECONDS - now
        age = now - self._confirmed_at
        # The answer named the clock at its making, which is not before it was asked.
        return self.clock_ms + int((age + left) * 1000) if self.clock_ms else 0

    def _apply(self, change: PartChange) -> None:
        self.position += 1
        self._changes.append(change)
        key = (change.scope, change.part)
        self._stored_tokens += change.tokens - self._parts.get(key, 0)
        if change.tokens:
            self._parts[key] = change.tokens
            self._saving.pop(key, None)
        else:
            self._parts.pop(key, None)

    def _forget(self) -> None:
        self._parts.clear()
        self._saving.clear()
        self._changes.clear()
        self._stored_tokens = 0


class PartStoreIndex:
    """All stores, and the plan for a prompt."""

    def __init__(self) -> None:
        self._stores: dict[str, PartStore] = {}

    @property
    def stores(self) -> list[PartStore]:
        """Return all stores."""
        return list(self._stores.values())

    def set_stores(self, capacities: dict[str, int]) -> None:
        """Take the stores that the operator declared, by address."""
        for address in [a for a in self._stores if a not in capacities]:
            del self._stores[address]
        for address, capacity in capacities.items():
            store = self._stores.get(address)
            if store is None:
                self._stores[address] = PartStore(address, capacity)
            else:
                store.capacity = capacity

    def find(self, address: str) -> PartStore | None:
        """Return a store."""
        return self._stores.get(address)

    def choose_store(self, part: str) -> PartStore | None:
        """Return the store a part belongs to; the same at every gateway.

        A store gets parts in proportion to its room.
        """
        best: PartStore | None = None
        score = -1.0
        for store in self._stores.values():
            # The largest of (weight in 0..1) ** (1 / room) falls on each store with a
            # chance proportional to its room.
            drawn = (compute_weight(part.encode(), store.address) + 1) / 2.0**64
            found = drawn ** (1e6 / max(1, store.capacity))
            if found > score:
                best, score = store, found
        return best

    def count_fetched(
        self, now: float, scope: str, parts: list[tuple[str, int]]
    ) -> int:
        """Return the leading tokens of ``parts`` that could be fetched."""
        tokens = 0
        for name, size in parts:
            store = self.choose_store(name)
            if store is None or not store.is_current(now):
                break
            if not store.contains(scope, name, size):
                break
            tokens += size
        return tokens

    def plan(
        self, now: float, scope: str, parts: list[tuple[str, int]], others: int
    ) -> PartPlan | None:
        """Return where to fetch and to save; None when there is nothing to do.

        ``parts`` are the shared ones in order, with their tokens; ``others`` is how
        many of the prompt's parts follow that are the request's own.
        """
        fetch: list[str] = []
        save: list[str] = []
        limits: list[int] = []
        for name, tokens in parts:
            store = self.choose_store(name)
            fetched = saved = ""
            if (
                store is not None
                and tokens >= MIN_FETCH_TOKENS
                and store.is_current(now)
            ):
                limit = store.find_fetch_deadline_ms(now)
                if store.contains(scope, name, tokens) and limit:
                    fetched = store.address
                    limits.append(limit)
                elif store.can_save(now, tokens) and not store.is_saving(
                    now, scope, name
                ):
                    saved = store.address
                    store.record_save(now, scope, name)
            fetch.append(fetched)
            save.append(saved)
        if not any(fetch) and not any(save):
            return None
        unshared = ("",) * others
        until = min(limits, default=0)
        return PartPlan((*fetch, *unshared), (*save, *unshared), until)
