"""Projects measured slopes to the design size: ``python -m capacity.projection``.

Each line names the mechanism that determines it. Rates are read from the constants of
the code, so that the projection follows changes to them.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

import fire

from bamboopier_agent.claims import PARTITIONS
from bamboopier_agent.lease import RENEW_INTERVAL_SECONDS
from bamboopier_daemon.daemon import KEEPALIVE_MS
from bamboopier_gateway.shared_quarantine import (
    WATCH_SECONDS as QUARANTINE_WATCH_SECONDS,
)
from bamboopier_gateway.target_poll import POLLS_PER_SECOND
from bamboopier_objects.follower import WATCH_SECONDS
from bamboopier_objects.vm_follower import POLL_SECONDS

from . import size

FIGURES = Path(__file__).resolve().parent.parent.parent / "docs" / "capacity.json"
# Headers of a call and its response, with those of TCP and IP.
CALL_BYTES = 600.0
# A keep-alive ping and its response, with the headers of TCP and IP.
PING_BYTES = 200.0
# A separate request for a load report, and its response.
REPORT_BYTES = 500.0
# The renewal of a lease and its response, with headers.
RENEW_BYTES = 900.0
# A stored claim, measured by tools/measure_claims.py.
CLAIM_BYTES = 95.0
# A publish writes the head and about one part.
PUBLISH_WRITES = 2.0


@dataclass(frozen=True)
class Line:
    """One projected figure and its limit; 0 for no limit."""

    role: str
    what: str
    value: float
    unit: str
    limit: float
    carried_by: str

    def render(self) -> str:
        """Return a row of the table."""
        if self.limit <= 0:
            return self._join("", "")
        share = self.value / self.limit
        verdict = f"{share:.0%} of it" if share <= 1 else f"SHORT: {share:.1f} times it"
        return self._join(f"{self.limit:g}", verdict)

    def _join(self, limit: str, verdict: str) -> str:
        value = f"{self.value:.3g} {self.unit}"
        cells = (self.role, self.what, value, limit, verdict, self.carried_by)
        return "| " + " | ".join(cells) + " |"


class Slopes:
    """The measured fits by name."""

    def __init__(self, path: Path) -> None:
        sections = json.loads(path.read_text())
        self._fits = {fit["name"]: fit for fits in sections.values() for fit in fits}

    def slope(self, name: str) -> float:
        """Return a fit's slope."""
        return float(self._fits[name]["slope"])

    def predict(self, name: str, count: float) -> float:
        """Return a fit's value at ``count``."""
        fit = self._fits[name]
        return float(fit["intercept"]) + float(fit["slope"]) * count


def project(slopes: Slopes) -> list[Line]:
    """Return all lines."""
    return [
        *project_gateway(slopes),
        *project_agent(slopes),
        *project_platform(slopes),
    ]


def project_gateway(slopes: Slopes) -> list[Line]:
    """Return the projection for one gateway."""
    memory = slopes.predict("gateway memory per agent channel", size.TARGETS)
    idle = slopes.predict("gateway idle CPU by listed VMs", size.LISTED_VMS)
    idle += slopes.slope("gateway idle CPU per agent channel") * size.TARGETS
    traffic = _keepalive_traffic(size.TARGETS) + POLLS_PER_SECOND * REPORT_BYTES / 1e3
    channels = "one channel an agent, all workspaces in memory"
    own_cost = _NodeCost("gateway", size.GATEWAYS, memory, idle, traffic, channels)
    return _project_node(slopes, own_cost)


def project_agent(slopes: Slopes) -> list[Line]:
    """Return the projection for one agent."""
    memory = slopes.predict("agent memory per gateway connection", size.GATEWAYS)
    idle = slopes.predict("agent idle CPU per gateway connection", size.GATEWAYS)
    traffic = _keepalive_traffic(size.GATEWAYS) + _claim_traffic()
    traffic += RENEW_BYTES / RENEW_INTERVAL_SECONDS / 1e3
    connections = "one connection a gateway, all workspaces in memory"
    own_cost = _NodeCost("agent", size.TARGETS, memory, idle, traffic, connections)
    return _project_node(slopes, own_cost)


@dataclass(frozen=True)
class _NodeCost:
    """Cost that depends on the role, in MB, cores and KB/s."""

    role: str
    nodes: int
    memory: float
    idle: float
    traffic: float
    memory_carried_by: str


def _project_node(slopes: Slopes, own_cost: _NodeCost) -> list[Line]:
    """Add the cost of every node: workspaces, changes and the VM list."""
    memory = own_cost.memory
    memory += slopes.slope("gateway memory per workspace") * size.WORKSPACES
    change = slopes.predict("gateway CPU per change, by workspaces", size.WORKSPACES)
    control = own_cost.idle + size.CHANGES_PER_DAY / size.DAY * change
    traffic = own_cost.traffic + _change_traffic(slopes)
    traffic += slopes.predict("gateway VM list traffic by listed VMs", size.LISTED_VMS)
    requests = size.REQUESTS_PER_SECOND / own_cost.nodes
    tokens = size.TOKENS_PER_SECOND / own_cost.nodes
    data = requests * slopes.slope(f"{own_cost.role} CPU per request")
    data += tokens * slopes.slope(f"{own_cost.role} CPU per token")
    role = own_cost.role
    carried_by = "parts by digest, VM list by tag, rare pings"
    return [
        _memory(role, memory, own_cost.memory_carried_by),
        _cpu(role, 100 * control, "watch, VM list by tag"),
        _traffic(role, traffic, carried_by),
        Line(role, "CPU for requests", data / 10, "% of a core", 0, "data path"),
    ]


def project_platform(slopes: Slopes) -> list[Line]:
    """Return the projection of calls to the platform."""
    changes = size.CHANGES_PER_DAY / size.DAY
    per_change = slopes.slope("platform reads per change, by nodes") * size.NODES
    watches = size.NODES / WATCH_SECONDS
    lists = size.NODES / POLL_SECONDS
    claims = size.REQUESTS_PER_SECOND * size.NON_IDEMPOTENT
    quarantine = 2 * size.GATEWAYS / QUARANTINE_WATCH_SECONDS
    steady = 2 * watches + lists + changes * per_change + claims + quarantine
    leases = size.TARGETS / RENEW_INTERVAL_SECONDS
    start = slopes.predict("object reads of a starting node, by workspaces", 6300)
    lost = size.NODES / size.DATA_CENTRES * start
    reach = slopes.predict("worst seconds to all nodes, by nodes", size.NODES)
    return [
        _reads(
            "reads in the steady state",
            steady,
            "watches, heads, VM list, changes, claims",
        ),
        _reads("of these for the VM list", lists, f"a poll each {POLL_SECONDS:g} s"),
        Line(
            "platform",
            "writes in the steady state",
            leases + claims + changes * PUBLISH_WRITES,
            "calls/s",
            size.PLATFORM_WRITES,
            "leases, a claim each, publishes",
        ),
        _writes("of these for claims", claims, "one conditional update a claim"),
        _writes(
            "of these for leases",
            leases,
            f"a renewal each {RENEW_INTERVAL_SECONDS:g} s",
        ),
        Line("platform", "reads for one change", per_change, "calls", 0, "3 a node"),
        Line(
            "platform",
            "seconds until a change is everywhere",
            reach,
            "s",
            size.CHANGE_SECONDS,
            "watch",
        ),
        Line(
            "platform",
            "reads when a data centre's nodes start together",
            lost,
            "calls",
            0,
            f"{start:.0f} parts a node",
        ),
        Line(
            "platform",
            "seconds of its whole read rate for that",
            lost / size.PLATFORM_READS,
            "s",
            size.CHANGE_SECONDS,
            "parts",
        ),
    ]


def _memory(role: str, value: float, carried_by: str) -> Line:
    return Line(role, "memory", value, "MB", size.MEMORY_LIMIT_MB, carried_by)


def _cpu(role: str, value: float, carried_by: str) -> Line:
    limit = size.CPU_LIMIT_PERCENT
    return Line(role, "CPU for control", value, "% of a core", limit, carried_by)


def _traffic(role: str, value: float, carried_by: str) -> Line:
    limit = size.TRAFFIC_LIMIT_KB
    return Line(role, "control traffic", value, "KB/s", limit, carried_by)


def _reads(what: str, value: float, carried_by: str) -> Line:
    return Line("platform", what, value, "calls/s", size.PLATFORM_READS, carried_by)


def _writes(what: str, value: float, carried_by: str) -> Line:
    return Line("platform", what, value, "calls/s", size.PLATFORM_WRITES, carried_by)


def _claim_traffic() -> float:
    """Return KB/s for claims: each reads and rewrites one partition."""
    claims = size.REQUESTS_PER_SECOND * size.NON_IDEMPOTENT
    stored = claims * size.KEY_LIFETIME_SECONDS / PARTITIONS
    partition = stored * CLAIM_BYTES
    return claims / size.TARGETS * 2 * (partition + CALL_BYTES) / 1e3


def _change_traffic(slopes: Slopes) -> float:
    """Return KB/s for following the configuration, including calls of the watch."""
    change = slopes.predict("gateway bytes per change, by workspaces", size.WORKSPACES)
    calls = 3 * CALL_BYTES / 1e3
    watch = CALL_BYTES / WATCH_SECONDS / 1e3
    return size.CHANGES_PER_DAY / size.DAY * (change + calls) + watch


def _keepalive_traffic(connections: int) -> float:
    return connections * PING_BYTES / (KEEPALIVE_MS / 1e3) / 1e3


def main(figures: str = str(FIGURES)) -> None:
    """Print the table."""
    print("| role | what | at the design size | limit | verdict | carried by |")
    print("|---|---|---|---|---|---|")
    for line in project(Slopes(Path(figures))):
        print(line.render())


if __name__ == "__main__":
    fire.Fire(main)
