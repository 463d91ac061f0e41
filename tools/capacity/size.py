"""The size that the system is designed for."""

from __future__ import annotations

GATEWAYS = 340
TARGETS = 730
REQUESTS_PER_SECOND = 3100.0
TOKENS_PER_SECOND = 1.2e6
WORKSPACES = 6300
PROMPTS = 1.8e6
DATA_CENTRES = 5
CHANGES_PER_DAY = 2300
CHANGE_SECONDS = 18.0
FAILURES_PER_DAY = 16
RESTARTS_PER_DAY = 84

# Assumed share of requests that may run only once; no figure is given for it.
NON_IDEMPOTENT = 0.05
KEY_LIFETIME_SECONDS = 86_400.0

CPU_LIMIT_PERCENT = 2.2
MEMORY_LIMIT_MB = 256.0
TRAFFIC_LIMIT_KB = 22.0

# Given as "about two thousand" reads and "several hundred" writes a second.
PLATFORM_READS = 2000.0
PLATFORM_WRITES = 300.0

DAY = 86_400.0
NODES = GATEWAYS + TARGETS
# No number of store VMs is given; a tenth of the targets is assumed.
LISTED_VMS = NODES + TARGETS // 10
