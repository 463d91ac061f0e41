"""Counters and latency histograms of a proxy gateway."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from bamboopier_daemon.http.closed_connections import make_closed_counter

# Seconds; latency objectives are between 0.1 and 0.6 s, deadlines at 12 s.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 12.0)


class ProxyMetrics:
    """All metrics of one gateway process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "bamboopier_requests",
            "Requests by route and final status",
            ["route", "status"],
            registry=self.registry,
        )
        self.sends = Counter(
            "bamboopier_sends",
            "Attempts of requests at targets, by service and cause of their end",
            ["service", "cause"],
            registry=self.registry,
        )
        self.sends_without_entry = Counter(
            "bamboopier_sends_without_entry",
            "Attempts at targets whose entry was missing after an outage, by service",
            ["service"],
            registry=self.registry,
        )
        self.list_age = Gauge(
            "bamboopier_list_age_seconds",
            "Seconds for which changes of a list in the store may be missing",
            ["list"],
            registry=self.registry,
        )
        self.list_answers = Counter(
            "bamboopier_list_answers",
            "Answers of other gateways on a list: confirmed, newer or different",
            ["list", "outcome"],
            registry=self.registry,
        )
        self.retries = Counter(
            "bamboopier_retries",
            "Retries that were sent, or denied by the shared budget, by service",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.retries_available = Gauge(
            "bamboopier_retries_available",
            "Retries that the shared budget allows this process now, by service",
            ["service"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "bamboopier_refusals",
            "Requests that this process refused, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.version_answers = Counter(
            "bamboopier_version_answers",
            "Answers while a roll-out runs, by service, software version and outcome",
            ["service", "software_version", "outcome"],
            registry=self.registry,
        )
        self.rollout_share = Gauge(
            "bamboopier_rollout_share",
            "Share of new requests that the version of a running roll-out gets",
            ["service", "software_version"],
            registry=self.registry,
        )
        self.first_byte = Histogram(
            "bamboopier_first_byte_seconds",
            "Seconds from a request's arrival to the first byte of its response",
            ["service"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.waited = Histogram(
            "bamboopier_waited_seconds",
            "Seconds for which requests waited for capacity at a target",
            ["service"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.held_body_bytes = Gauge(
            "bamboopier_held_body_bytes",
            "Bytes of the bodies of open requests",
            registry=self.registry,
        )
        self.closed_connections = make_closed_counter(self.registry)
        self.open_requests = Gauge(
            "bamboopier_open_requests",
            "Requests without a final response",
            registry=self.registry,
        )
        self.dropped_lines = Gauge(
            "bamboopier_log_lines_dropped",
            "Log lines that were dropped by the bounds of the log sink",
            registry=self.registry,
        )
