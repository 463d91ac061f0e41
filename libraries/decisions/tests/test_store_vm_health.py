"""A store VM that failed is skipped for a bounded time."""

from __future__ import annotations

import unittest

from bamboopier_decisions.context.store_vm_health import (
    MAX_BACKOFF_SECONDS,
    StoreVmHealth,
)


class StoreVmHealthTests(unittest.TestCase):
    def test_back_offs_double_up_to_a_bound_and_end_with_a_response(self) -> None:
        health = StoreVmHealth()
        now = 0.0
        for _ in range(10):
            health.record_failure(now, "s")
            start = now
            while health.is_backing_off(now, "s"):
                now += 0.5
        self.assertEqual(now - start, MAX_BACKOFF_SECONDS)
        health.record_failure(now, "s")
        health.record_response("s")
        self.assertFalse(health.is_backing_off(now, "s"))
