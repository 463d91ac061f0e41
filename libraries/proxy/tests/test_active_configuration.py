"""Tests that the active configuration never goes back to an older version."""

from __future__ import annotations

import unittest
from unittest import mock

from bamboopier_decisions.forwarding.specs import CallerLimits, DeclaredConfiguration
from bamboopier_proxy.active_configuration import ActiveConfiguration


def declare(version: int) -> DeclaredConfiguration:
    return DeclaredConfiguration(version, (), {}, CallerLimits(), None)


class ActiveConfigurationTests(unittest.TestCase):
    def setUp(self) -> None:
        self.applied: list[int] = []
        self.active_configuration = ActiveConfiguration(
            5.0, lambda d: self.applied.append(d.version)
        )
        patch = mock.patch("bamboopier_proxy.active_configuration.log")
        patch.start()
        self.addCleanup(patch.stop)

    def test_an_older_version_is_ignored(self) -> None:
        self.active_configuration.update(declare(7), 10.0, 10.1)
        self.active_configuration.update(declare(5), 14.0, 14.1)
        self.assertEqual((self.active_configuration.version, self.applied), (7, [7]))
        self.assertFalse(self.active_configuration.freshness.is_fresh(15.0))

    def test_only_the_active_version_is_confirmed(self) -> None:
        # Another gateway responds that its own, newer version is current. That does not
        # confirm the older version here: the newer one may lack a key.
        self.active_configuration.update(declare(7), 10.0, 10.1)
        self.active_configuration.confirm(8, 14.0)
        self.assertFalse(self.active_configuration.freshness.is_fresh(15.0))
        self.active_configuration.confirm(7, 14.0)
        self.assertTrue(self.active_configuration.freshness.is_fresh(15.0))


if __name__ == "__main__":
    unittest.main()
