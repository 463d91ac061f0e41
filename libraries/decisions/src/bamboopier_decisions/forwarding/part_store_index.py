"""Indexes which prompt parts are fully stored in part stores and may be fetched.

Load pattern: prompts that share long prefixes return to engines that have evicted them.
Recomputing 8,600 tokens takes an engine 77 ms, during which it prefills nothing else;
fetching them over a store's link takes 25 ms and leaves the engine free.

Guards against reading incomplete data. A store that restarts has lost everything, and
what is then written there again is incomplete at first: a fetch at that moment would
read a fragment of a part. The index is therefore valid only for a limited time after
the store's last response from the same instance (epoch), an engine gets a deadline for
its fetch, and nothing is written to a store until its instance has been known for
longer than that.
"""

from __future__ import annotations

from collections import deque

import msgspec

from ..routing.rendezvous import compute_weight

# Seconds after a store's last response for which its index is valid: two requests and
# the interval between them, so that one late response changes nothing.
UPDATE_VALID_SECONDS = 1.6
# Seconds after an epoch was first seen before anything is written to the store. This is
# longer than a response is valid, so that fetches from the previous epoch have ended.
SAVE_HOLD_OFF_SECONDS = 2.5
# A store counts as full at this share of its capacity: it discards what does not fit.
MAX_FILL_SHARE = 0.97
# Parts below this many tokens are recomputed: a fetch waits some ms before it starts.
MIN_FETCH_TOKENS = 100
# Changes of a store that are kept to be relayed; a reader that is further behind gets a
# snapshot.
MAX_CHANGES = 2000
# A save that is not reported within this many seconds may be tried again.
SAVE_RETRY_SECONDS = 2.0


class PartChange(msgspec.Struct, frozen=True):
    """A part that is now fully stored in a store, or no longer is."""

    scope: str
    part: str
    # Tokens stored; 0 after its removal.
    tokens: int


class PartUpdate(msgspec.Struct, frozen=True):
    """One response of a store."""

    # Changes with each instance of the store.
    epoch: int
    # Milliseconds on the clock that engines and stores share; 0 if not reported.
    clock_ms: int
    changes: tuple[PartChange, ...]
    # ``changes`` lists all stored parts, not those since the last response.
    is_snapshot: bool = False
    # Seconds for which the process that relayed the response had known this epoch.
    epoch_known_seconds: float = 0.0


class PartPlan(msgspec.Struct, frozen=True):
    """Where an engine fetches and saves each part of a prompt; empty for nowhere."""

    fetch: tuple[str, ...]
    save: tuple[str, ...]
    # Milliseconds on the engines' clock; a later fetch is discarded. 0 for no fetch.
    fetch_deadline_ms: int

    @property
    def fetched_parts(self) -> int:
        """Return how many parts are fetched."""
        return sum(1 for address in self.fetch if address)


class PartStore:
    """The state of one store as last reported."""

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
        # Tokens that it can hold.
        self.capacity = capacity
        # The current epoch; 0 for none.
        self.epoch = 0
        # When this epoch was first seen, never too early, and when its last response
        # was requested, never too late: in doubt saves start later, and the index
        # expires sooner.
        self._epoch_seen_at = float("inf")
        self._confirmed_at = float("-inf")
        # From the last response, also of an epoch that has been invalidated.
        self.clock_ms = 0
        # Number of changes since this epoch was first seen here, and the last of them.
        self.position = 0
        self._changes: deque[PartChange] = deque(maxlen=MAX_CHANGES)
        self._parts: dict[tuple[str, str], int] = {}
        # Parts that engines were told to save there, and when.
        self._saving: dict[tuple[str, str], float] = {}
        self._stored_tokens = 0

    @property
    def parts(self) -> int:
        """Return the number of parts assumed to be stored there."""
        return len(self._parts)

    @property
    def stored_tokens(self) -> int:
        """Return the number of tokens assumed to be stored there."""
        return self._stored_tokens

    def apply_update(self, sent_at: float, read_at: float, update: PartUpdate) -> bool:
        """Apply a response requested and read at these times; True for a new epoch.

        Guards against dating a new epoch too early: a gateway is suspended for seconds
        with a request open, during which the store restarts. Dated by the request, that
        epoch would be old enough to be written to at once, while others still fetch
        what was stored before: they could read half a part. The epoch started before
        the response was read, so the hold-off that counts from then is long enough.
        """
        restarted = update.epoch != self.epoch
        if restarted:
            self._clear()
            self.epoch = update.epoch
            self._epoch_seen_at = read_at
        elif update.is_snapshot:
            self._clear()
        self._epoch_seen_at = min(
            self._epoch_seen_at, read_at - update.epoch_known_seconds
        )
        self._confirmed_at = max(self._confirmed_at, sent_at)
        self.clock_ms = update.clock_ms
        for change in update.changes:
            self._apply(change)
        return restarted

    def is_outdated(self, update: PartUpdate) -> bool:
        """Return whether a relayed update is of an earlier epoch than the current one.

        Guards against returning to an earlier epoch: a gateway has received a store's
        new epoch, and then requests updates from a gateway that has not. The earlier
        epoch would be restored, with parts that are lost, and with an age that allows
        writes at once.

        Epochs are not ordered. Both responses contain the clock of all stores at the
        time they were made, and no response of an epoch is made after one of the next:
        a response with an earlier time and another epoch is of an earlier epoch. If
        that clock jumps back, a new epoch is accepted later by as much, and prompts are
        recomputed meanwhile.
        """
        return update.epoch != self.epoch and update.clock_ms < self.clock_ms

    def invalidate(self) -> None:
        """Invalidate the index after a failed call: the store may be restarting."""
        self._clear()
        self.epoch = 0
        self._epoch_seen_at = float("inf")
        self._confirmed_at = float("-inf")

    def is_current(self, now: float) -> bool:
        """Return whether the index is still valid."""
        return now - self._confirmed_at < UPDATE_VALID_SECONDS

    def can_save(self, now: float, tokens: int) -> bool:
        """Return whether a part of ``tokens`` tokens may be written."""
        settled = now - self._epoch_seen_at >= SAVE_HOLD_OFF_SECONDS
        has_headroom = self._stored_tokens + tokens <= self.capacity * MAX_FILL_SHARE
        return settled and has_headroom and self.is_current(now)

    def contains(self, scope: str, part: str, tokens: int) -> bool:
        """Return whether the complete part is stored there."""
        return self._parts.get((scope, part)) == tokens

    def is_saving(self, now: float, scope: str, part: str) -> bool:
        """Return whether an engine was recently told to save the part."""
        sent = self._saving.get((scope, part))
        return sent is not None and now - sent < SAVE_RETRY_SECONDS

    def record_save(self, now: float, scope: str, part: str) -> None:
        """Record that an engine is told to save the part."""
        self._saving[scope, part] = now

    def find_age(self, now: float) -> float:
        """Return the seconds since the last response of the store was requested."""
        return now - self._confirmed_at

    @property
    def epoch_known_seconds(self) -> float:
        """Return for how long the epoch had been known at the last request.

        The value is below 0 while only the response that reported the epoch is known.
        """
        return self._confirmed_at - self._epoch_seen_at

    def list_changes(self, position: int) -> list[PartChange] | None:
        """Return the changes after ``position``; None when they are not known."""
        count = self.position - position
        if position < 0 or not 0 <= count <= len(self._changes):
            return None
        return list(self._changes)[len(self._changes) - count :]

    def list_parts(self) -> list[PartChange]:
        """Return all parts assumed to be stored there."""
        return [PartChange(*key, tokens) for key, tokens in self._parts.items()]

    def find_fetch_deadline_ms(self, now: float) -> int:
        """Return the deadline of a fetch, in milliseconds on the engines' clock."""
        remaining = self._confirmed_at + UPDATE_VALID_SECONDS - now
        age = now - self._confirmed_at
        # The response contains the clock at the time it was made, which is not before
        # it was requested.
        return self.clock_ms + int((age + remaining) * 1000) if self.clock_ms else 0

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

    def _clear(self) -> None:
        self._parts.clear()
        self._saving.clear()
        self._changes.clear()
        self._stored_tokens = 0


class PartStoreIndex:
    """All part stores, and the plan for a prompt."""

    def __init__(self) -> None:
        self._stores: dict[str, PartStore] = {}

    @property
    def stores(self) -> list[PartStore]:
        """Return all stores."""
        return list(self._stores.values())

    def set_stores(self, capacities: dict[str, int]) -> None:
        """Set the configured stores: capacities in tokens by address."""
        for address in [a for a in self._stores if a not in capacities]:
            del self._stores[address]
        for address, capacity in capacities.items():
            store = self._stores.get(address)
            if store is None:
                self._stores[address] = PartStore(address, capacity)
            else:
                store.capacity = capacity

    def find(self, address: str) -> PartStore | None:
        """Return a store, or None if it is not configured."""
        return self._stores.get(address)

    def choose_store(self, part: str) -> PartStore | None:
        """Return the store a part belongs to; the same at every gateway.

        Stores are assigned parts in proportion to their capacity.
        """
        best: PartStore | None = None
        score = -1.0
        for store in self._stores.values():
            # The largest of (weight in 0..1) ** (1 / capacity) falls on each store with
            # a probability proportional to its capacity.
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

    def is_new(self, now: float, scope: str, parts: list[tuple[str, int]]) -> bool:
        """Return whether probably no engine has computed the last of ``parts`` yet.

        A part is saved when it is first computed, as long as its store has room: one
        that is missing there has not been computed.
        """
        if not parts:
            return False
        name, tokens = parts[-1]
        store = self.choose_store(name)
        if store is None or tokens < MIN_FETCH_TOKENS:
            return False
        is_known = store.contains(scope, name, tokens)
        return (
            store.can_save(now, tokens)
            and not is_known
            and not store.is_saving(now, scope, name)
        )

    def plan(
        self, now: float, scope: str, parts: list[tuple[str, int]], others: int
    ) -> PartPlan | None:
        """Return where to fetch and to save; None when there is nothing to do.

        ``parts`` are the shared ones in order, with their tokens; ``others`` is how
        many of the prompt's parts follow that belong to this request alone.
        """
        fetch: list[str] = []
        save: list[str] = []
        deadlines: list[int] = []
        for name, tokens in parts:
            store = self.choose_store(name)
            fetched = saved = ""
            if (
                store is not None
                and tokens >= MIN_FETCH_TOKENS
                and store.is_current(now)
            ):
                deadline = store.find_fetch_deadline_ms(now)
                if store.contains(scope, name, tokens) and deadline:
                    fetched = store.address
                    deadlines.append(deadline)
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
        until = min(deadlines, default=0)
        return PartPlan((*fetch, *unshared), (*save, *unshared), until)
