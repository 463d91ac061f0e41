"""How suspensions of the process are reported."""

from __future__ import annotations

import unittest
from unittest import mock

from prometheus_client import CollectorRegistry

from bamboopier_proxy.pause_monitor import PauseMonitor


class PauseMonitorTests(unittest.TestCase):
    def test_a_pause_is_logged_and_counted_when_it_is_over(self) -> None:
        module = "bamboopier_proxy.pause_monitor"
        registry = CollectorRegistry()
        times = iter([100.0, 100.2, 103.5])
        with (
            mock.patch(f"{module}.read_clock", side_effect=lambda: next(times)),
            mock.patch(f"{module}.log") as log,
        ):
            monitor = PauseMonitor(registry)
            listener = mock.Mock()
            monitor.listeners.append(listener)
            monitor.tick()
            log.warning.assert_not_called()
            listener.assert_not_called()
            monitor.tick()
        log.warning.assert_called_once_with("process paused", seconds=3.3)
        listener.assert_called_once()
        now, seconds = listener.call_args.args
        self.assertEqual(now, 103.5)
        self.assertAlmostEqual(seconds, 3.3)
        name = "bamboopier_paused_seconds_total"
        self.assertAlmostEqual(registry.get_sample_value(name) or 0.0, 3.3)


if __name__ == "__main__":
    unittest.main()
