"""Tests how the development tools start and supervise processes."""

from __future__ import annotations

import threading
import time
import unittest

from ports import PortSlice, find_port
from processes import Installation, StartError


class PortTests(unittest.TestCase):
    def test_no_port_is_assigned_twice(self) -> None:
        # Two daemons get ports before either listens. If both ports were the same free
        # port, the second daemon would exit with "address in use".
        ports = [find_port() for _ in range(200)]
        self.assertEqual(len(set(ports)), len(ports))

    def test_processes_that_run_side_by_side_use_different_ports(self) -> None:
        # Guards against "address in use" because another test process, with a process
        # id that differs by a multiple of the slices, has assigned the same port.
        first, second = PortSlice.reserve(7), PortSlice.reserve(7)
        ports = [s.find_port() for s in (first, second) for _ in range(300)]
        self.assertEqual(len(set(ports)), len(ports))


class EndedDaemonTests(unittest.TestCase):
    def test_waiting_for_a_daemon_that_ended_fails_at_once(self) -> None:
        # A gateway exits during its start. Waiting for it must raise an error with its
        # last line of output at once, instead of waiting until the timeout.
        with Installation() as installation:
            daemon = installation.start_process("gone", ["-c", "raise SystemExit('x')"])
            daemon.process.wait(20)
            with self.assertRaisesRegex(StartError, "gone ended: x"):
                installation.check_alive("gone")

    def test_a_daemon_that_another_thread_kills_has_ended(self) -> None:
        # A fault kills a daemon in another thread while the test checks which daemons
        # to restart. The daemon being killed must not count as alive.
        with Installation() as installation:
            for number in range(10):
                name = f"dying-{number}"
                arguments = ["-c", "import time; time.sleep(60)"]
                daemon = installation.start_process(name, arguments)
                killer = threading.Thread(target=daemon.kill)
                killer.start()
                while not daemon.killed:
                    time.sleep(0)
                self.assertTrue(daemon.has_ended())
                killer.join()


if __name__ == "__main__":
    unittest.main()
