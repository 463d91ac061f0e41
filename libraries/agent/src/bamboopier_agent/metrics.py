"""Metrics of one agent."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

FIRST_BYTE_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.68, 1.0, 2.0, 5.0, 10.0, 30.0)


class AgentMetrics:
    """The agent's metrics, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.outcomes = Counter(
            "bamboopier_agent_attempts",
            "Attempts by outcome",
            ["outcome"],
            registry=self.registry,
        )
        self.prompt_tokens = Counter(
            "bamboopier_prompt_tokens",
            "Prompt tokens by source of their context",
            ["source"],
            registry=self.registry,
        )
        self.first_byte = Histogram(
            "bamboopier_agent_first_byte_seconds",
            "Seconds from arrival at the agent to the target's first byte",
            buckets=FIRST_BYTE_BUCKETS,
            registry=self.registry,
        )
        self.link_blocks = Counter(
            "bamboopier_link_blocks",
            "Context blocks over the link to the store VMs",
            ["direction"],
            registry=self.registry,
        )
        self.link_bytes = Counter(
            "bamboopier_link_bytes",
            "Bytes over the link to the store VMs",
            ["direction"],
            registry=self.registry,
        )
        self.link_budget = Gauge(
            "bamboopier_link_budget_bytes_per_second",
            "Budget of the link to the store VMs, both directions together",
            registry=self.registry,
        )
        self.store_failures = Counter(
            "bamboopier_store_failures",
            "Failed calls to store VMs by reason",
            ["reason"],
            registry=self.registry,
        )
        self.fetch_decisions = Counter(
            "bamboopier_fetch_decisions",
            "Requests by the choice between fetching and recomputing",
            ["reason"],
            registry=self.registry,
        )
        self.export_decisions = Counter(
            "bamboopier_export_decisions",
            "Blocks by outcome of their export",
            ["outcome"],
            registry=self.registry,
        )
        self.running = Gauge(
            "bamboopier_agent_running",
            "Requests running at the target now",
            registry=self.registry,
        )
        self.waiting = Gauge(
            "bamboopier_agent_waiting",
            "Requests queued at the agent now",
            registry=self.registry,
        )
