"""Defines the metrics of one gateway."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from bamboopier_daemon.http.closed_connections import make_closed_counter

FIRST_BYTE_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.68, 1.0, 2.0, 5.0, 10.0, 30.0)


class GatewayMetrics:
    """The gateway's metrics in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.responses = Counter(
            "bamboopier_answers",
            "Final responses to callers by service and code",
            ["service", "code"],
            registry=self.registry,
        )
        self.first_byte = Histogram(
            "bamboopier_first_byte_seconds",
            "Seconds from sending an attempt to the head of its response",
            ["service"],
            buckets=FIRST_BYTE_BUCKETS,
            registry=self.registry,
        )
        self.first_token = Histogram(
            "bamboopier_time_to_first_token_seconds",
            "Seconds from a model request's arrival to the first byte of its text",
            ["service"],
            buckets=FIRST_BYTE_BUCKETS,
            registry=self.registry,
        )
        self.open_requests = Gauge(
            "bamboopier_open_requests",
            "Requests without a final response now",
            registry=self.registry,
        )
        self.held_body_bytes = Gauge(
            "bamboopier_held_body_bytes",
            "Bytes of request bodies that open requests hold now",
            registry=self.registry,
        )
        self.attempts = Counter(
            "bamboopier_attempts",
            "Attempts by service and reason of the choice",
            ["service", "reason"],
            registry=self.registry,
        )
        self.prompt_tokens = Counter(
            "bamboopier_caller_prompt_tokens",
            "Prompt tokens by whether their context was reused",
            ["service", "source"],
            registry=self.registry,
        )
        self.connections = Gauge(
            "bamboopier_connections",
            "Callers' connections open now",
            registry=self.registry,
        )
        self.closed_connections = make_closed_counter(self.registry)
