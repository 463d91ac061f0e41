"""The targets a gateway may send to, and the requests in flight at each.

Load pattern: several gateways send prompts of very different sizes to few engines,
whose memory is the limit. Each gateway counts its own requests at once and adds the
loads that other gateways last reported, so that no call is needed before a request is
sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..contention.service_time import ServiceTime
from ..contention.workspace_demands import WorkspaceDemands
from .demand_share import DemandShares
from .prefill_rate import PrefillRate
from .rate_limit import RateLimit
from .rest_period import RestPeriod
from .specs import ServiceSpec, TargetEntry
from .target_state import Load, TargetState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from .prompt import Prompt

# Seconds after the store recovered in which an entry that is missing may only have
# expired during the outage: live targets are listed again within two.
STORE_RECOVERY_SECONDS = 2.2
# Targets without an entry whose reports are kept.
MAX_FORMER_TARGETS = 64
# For ``store_recovered_at``: the store had no outage.
NEVER = float("-inf")


class InFlightRequest:
    """One request at one target, from its sending to its end."""

    __slots__ = (
        "entry_missing",
        "first_event_at",
        "last_byte_at",
        "load",
        "list_age",
        "load_age",
        "prefill_before",
        "prompt",
        "ramped",
        "requests_before",
        "sent_at",
        "service",
        "silence",
        "started",
        "state",
        "survived",
        "waiting",
    )

    def __init__(self, state: TargetState, load: Load, prompt: Prompt | None) -> None:
        self.state = state
        self.load = load
        self.prompt = prompt
        self.service = state.service.name
        # Tokens pending at the target when it was chosen, its own included.
        self.prefill_before = state.pending_prefill + load.pending_prefill
        # Requests in flight there when it was chosen, without its own.
        self.requests_before = state.requests
        # Seconds since the load of all other gateways there was measured; None if it is
        # known from their hints only.
        self.load_age: float | None = None
        # When it was sent: seconds for which changes of the list of targets may be
        # missing, and whether the target's entry was.
        self.list_age = 0.0
        self.entry_missing = False
        # It counts among the few requests right after a rest of the target.
        self.ramped = state.rest.record_sent()
        # None until it is sent.
        self.sent_at: float | None = None
        # When a part of its response was last received; at first when it was sent.
        self.last_byte_at: float | None = None
        # When the first event of its response was received; None before it.
        self.first_event_at: float | None = None
        # Its target wrote events for so long that no part of its prompt is suspected.
        self.survived = False
        # When it was sent: seconds for which the target had owed a byte, and the number
        # of requests that were waiting for it.
        self.silence = 0.0
        self.waiting = 0
        # Whether a part of its response was received.
        self.started = False

    def record_sent(self, now: float) -> None:
        """Record that the first byte is sent to the target."""
        detector = self.state.stall_detector
        self.sent_at = self.last_byte_at = now
        self.silence, self.waiting = detector.find_silence(now), detector.in_flight
        rate = self.state.prefill_rate.per_second
        expected = self.prefill_before / rate if self.prompt is not None else 0.0
        detector.record_sent(now, expected)

    def record_byte(self, now: float) -> None:
        """Record that a part of the response was received."""
        detector = self.state.stall_detector
        self.last_byte_at = now
        if self.started or self.sent_at is None:
            detector.record_byte(now)
            return
        self.started = True
        detector.record_first_byte(now, now - self.sent_at)

    def record_closed(self, now: float) -> None:
        """Record that no more of the response is expected, after it was sent."""
        self.state.stall_detector.record_end(now, running=self.started)


class _FormerTarget(msgspec.Struct, frozen=True):
    """What a target without an entry had reported, which still holds."""

    entry: TargetEntry
    limit: RateLimit
    rest: RestPeriod
    leaving: bool


class Fleet:
    """States of all registered targets by name."""

    def __init__(self) -> None:
        self._states: dict[str, TargetState] = {}
        self._services: Mapping[str, ServiceSpec] = {}
        self._by_service: dict[str, list[TargetState]] = {}
        self._changes = 0
        # By service; kept while its targets are replaced.
        self._prefill_rates: dict[str, PrefillRate] = {}
        self._service_times: dict[str, ServiceTime] = {}
        self.workspace_demands = WorkspaceDemands()
        # Targets whose entry is missing since the store recovered, and until when they
        # are still used.
        self._missing: dict[str, float] = {}
        # By name, oldest first.
        self._former: dict[str, _FormerTarget] = {}
        self._drained_data_centres: frozenset[str] = frozenset()
        # Number of gateways that share the targets, and the index of this one by name.
        self.gateway_count = 1
        self.gateway_index: int | None = 0
        self.demand_shares = DemandShares()
        # Called with a target whose load from this gateway has changed.
        self.load_listeners: list[Callable[[TargetState], None]] = []
        # Returns the seconds for which changes of the list may be missing.
        self.find_list_age: Callable[[], float] = lambda: 0.0

    @property
    def changes(self) -> int:
        """Return a number that rises when targets or services are added or removed."""
        return self._changes

    @property
    def names(self) -> list[str]:
        """Return the names of all registered targets."""
        return list(self._states)

    def list_software_versions(self) -> dict[str, set[str]]:
        """Return the software versions of all registered targets, by service."""
        versions: dict[str, set[str]] = {}
        for state in self._states.values():
            found = versions.setdefault(state.entry.service, set())
            found.add(state.entry.software_version)
        return versions

    def list_engine_hosts(self) -> list[str]:
        """Return the hosts of all registered engines, sorted."""
        states = self._states.values()
        return sorted({s.entry.host for s in states if s.service.engine is not None})

    def list_registered(self, service: str) -> list[TargetState]:
        """Return all registered targets of a service, those that leave included."""
        return list(self._by_service.get(service, ()))

    def find_service(self, name: str) -> ServiceSpec | None:
        """Return a service of the configuration, or None if it is unknown."""
        return self._services.get(name)

    def find(self, name: str) -> TargetState | None:
        """Return a target's state, or None if it is not registered."""
        return self._states.get(name)

    def list_targets(self, service: str, now: float) -> list[TargetState]:
        """Return the targets of a service that new requests may be sent to."""
        self._remove_expired(now)
        closed = self._drained_data_centres
        return [
            state
            for state in self._by_service.get(service, ())
            if not state.leaving and state.entry.data_centre not in closed
        ]

    def record_request(self, now: float, service: str, workspace: str) -> None:
        """Record a caller's request."""
        self.demand_shares.record_request(now, service)
        self.workspace_demands.record_request(now, service, workspace)

    def find_capacity(self, now: float, service: str) -> float:
        """Return the requests a second that a service carries.

        0 as long as it is unknown, and for engines.
        """
        targets = [
            s for s in self.list_targets(service, now) if s.service.engine is None
        ]
        return sum(s.service_time.count_turnover(s.slots, 1.0) for s in targets)

    def find_own_capacity(self, now: float, service: str) -> float:
        """Return this gateway's share of it, by the requests that it gets."""
        share = self.demand_shares.find_share(now, service, self.gateway_count)
        return self.find_capacity(now, service) * share

    def exceeds_part(self, now: float, service: str, workspace: str) -> bool:
        """Return whether a workspace asks for more than its part of a service."""
        capacity = self.find_capacity(now, service)
        return self.workspace_demands.exceeds_part(now, service, workspace, capacity)

    def is_open(self, state: TargetState, now: float) -> bool:
        """Return whether ``state`` may still be used, checked right before a send."""
        self._remove_expired(now)
        return (
            self._states.get(state.entry.name) is state
            and not state.leaving
            and state.entry.data_centre not in self._drained_data_centres
        )

    def drain_data_centres(self, names: Iterable[str]) -> None:
        """Send no requests to the targets of these data centres."""
        self._drained_data_centres = frozenset(names)

    def set_services(self, services: Mapping[str, ServiceSpec]) -> None:
        """Set the services of the configuration."""
        self._services = services
        for state in self._states.values():
            found = services.get(state.entry.service)
            if found is not None:
                state.service = found
        self._index_by_service()

    def replace(
        self,
        now: float,
        entries: Iterable[TargetEntry],
        store_recovered_at: float = NEVER,
    ) -> None:
        """Apply the complete list; entries missing after an outage stay for a while."""
        listed = {entry.name: entry for entry in entries}
        for entry in listed.values():
            self.put(now, entry)
        for name in [n for n in self._states if n not in listed]:
            self.remove(now, name, store_recovered_at)
        self._index_by_service()

    def put(self, now: float, entry: TargetEntry) -> None:
        """Apply one new or changed entry."""
        self._missing.pop(entry.name, None)
        state = self._states.get(entry.name)
        if state is not None and _is_same_instance(state.entry, entry):
            cold = entry.cold_seconds
            if cold > state.entry.cold_seconds:
                state.cold_start.start(now, cold)
            state.update_entry(entry)
            return
        spec = self._services.get(entry.service)
        if spec is None:
            spec = _make_unknown_service(entry.service)
        rate = self._prefill_rates.setdefault(entry.service, PrefillRate())
        seconds = self._service_times.setdefault(entry.service, ServiceTime())
        state = TargetState(entry, spec, rate, seconds)
        former = self._former.pop(entry.name, None)
        if former is not None and _is_same_instance(former.entry, entry):
            state.rate_limit, state.rest = former.limit, former.rest
            state.reports_leaving = former.leaving
        if entry.cold_seconds > 0:
            state.cold_start.start(now, entry.cold_seconds)
        self._states[entry.name] = state
        self._index_by_service()

    def remove(self, now: float, name: str, store_recovered_at: float = NEVER) -> None:
        """Apply the removal of an entry.

        Guards against sending requests to a target that is removed seconds after the
        store recovered, as if its entry had only expired during the outage. The time
        for which it is kept counts from the recovery, so that it ends when the targets
        whose entries did expire are listed again, however late the removal comes.
        """
        state = self._states.get(name)
        if state is None:
            return
        until = store_recovered_at + STORE_RECOVERY_SECONDS
        if now < until and not state.leaving:
            self._missing.setdefault(name, until)
            return
        self._missing.pop(name, None)
        del self._states[name]
        self._remember_reports(now, state)
        self._index_by_service()

    def begin(
        self, now: float, state: TargetState, prompt: Prompt | None
    ) -> InFlightRequest:
        """Record a request that is sent now."""
        load = Load(requests=1)
        if prompt is not None:
            load.pending_prefill = state.count_prefill(prompt)
            load.memory = state.pin(prompt)
            state.cached_parts.add(prompt)
        state.headroom.record_sent(now, load.pending_prefill, load.memory)
        in_flight = InFlightRequest(state, load, prompt)
        in_flight.load_age = state.find_load_age(now)
        in_flight.list_age = self.find_list_age()
        in_flight.entry_missing = state.entry.name in self._missing
        state.own_load.add(load)
        state.cold_start.record_sent(now)
        state.rate_limit.record_sent(now)
        state.circuit_breaker.record_sent()
        self._report_load(state)
        return in_flight

    def record_prefilled(self, now: float, sent: InFlightRequest) -> None:
        """Record that the prompt has been prefilled: the first event was received."""
        if sent.sent_at is not None and sent.prompt is not None:
            seconds = now - sent.sent_at
            sent.state.prefill_rate.record_first_byte(sent.prefill_before, seconds)
        sent.state.own_load.pending_prefill -= sent.load.pending_prefill
        sent.load.pending_prefill = 0
        self._report_load(sent.state)

    def record_answered(self, sent: InFlightRequest, seconds: float) -> None:
        """Record that a target without an engine has answered after ``seconds``."""
        if sent.prompt is None:
            state = sent.state
            state.service_time.record(seconds, sent.requests_before + 1, state.slots)

    def end(self, sent: InFlightRequest) -> None:
        """Record the end of a request."""
        if sent.ramped:
            sent.state.rest.record_end()
        own = sent.state.own_load
        own.requests -= sent.load.requests
        if sent.prompt is not None:
            own.memory -= sent.state.unpin(sent.prompt)
        own.pending_prefill -= sent.load.pending_prefill
        self._report_load(sent.state)

    def set_other_load(self, name: str, load: Load) -> None:
        """Set the load of the other gateways at one target."""
        state = self._states.get(name)
        if state is not None:
            state.set_reported_load(load)

    def set_other_loads(self, loads: Mapping[str, Load]) -> None:
        """Set the loads of the other gateways at each target."""
        for name, state in self._states.items():
            state.set_reported_load(loads.get(name) or Load())

    def _report_load(self, state: TargetState) -> None:
        for listener in self.load_listeners:
            listener(state)

    def _remember_reports(self, now: float, state: TargetState) -> None:
        """Keep what a target that is no longer listed had reported.

        Guards against a burst: a rate-limited or resting target is cut off from the
        store, so its entry expires, and is listed again. It would receive a burst
        before its first response. One that leaves would get requests again.
        """
        has_reported = (
            state.rate_limit.in_force
            or state.rest.is_resting(now)
            or state.reports_leaving
        )
        if not has_reported:
            return
        self._former[state.entry.name] = _FormerTarget(
            state.entry, state.rate_limit, state.rest, state.reports_leaving
        )
        if len(self._former) > MAX_FORMER_TARGETS:
            del self._former[next(iter(self._former))]

    def _remove_expired(self, now: float) -> None:
        if not self._missing:
            return
        for name in [n for n, until in self._missing.items() if now >= until]:
            self.remove(now, name)

    def _index_by_service(self) -> None:
        by_service: dict[str, list[TargetState]] = {}
        for name in sorted(self._states):
            state = self._states[name]
            by_service.setdefault(state.entry.service, []).append(state)
        self._by_service = by_service
        self._changes += 1


def _is_same_instance(known: TargetEntry, entry: TargetEntry) -> bool:
    return (
        known.started_ms == entry.started_ms
        and known.host == entry.host
        and known.port == entry.port
        and known.service == entry.service
        and known.software_version == entry.software_version
    )


def _make_unknown_service(name: str) -> ServiceSpec:
    return ServiceSpec(name, "", 0, 0.0, 0.0, None)
