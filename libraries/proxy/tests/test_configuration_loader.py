"""Tests of loading configurations from the store or from another gateway."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

from result import Err, Ok, Result

from bamboopier_decisions.forwarding.specs import CallerLimits, DeclaredConfiguration
from bamboopier_objects.objects import StoredObject
from bamboopier_proxy.active_configuration import ActiveConfiguration
from bamboopier_proxy.configuration_loader import ConfigurationLoader

if TYPE_CHECKING:
    from bamboopier_proxy.store_schema import StoreSchema


def decode(value: bytes) -> Result[DeclaredConfiguration, str]:
    """Decode the value as the number of the version."""
    if not value.isdigit():
        return Err("no number")
    return Ok(DeclaredConfiguration(int(value), (), {}, CallerLimits(), None))


class ConfigurationLoaderTests(unittest.TestCase):
    def setUp(self) -> None:
        schema: StoreSchema = mock.Mock(decode_configuration=decode)
        self.active_configuration = ActiveConfiguration(5.0, lambda _: None)
        self.loader = ConfigurationLoader(schema, self.active_configuration)
        for module in ("active_configuration", "configuration_loader"):
            patch = mock.patch(f"bamboopier_proxy.{module}.log")
            patch.start()
            self.addCleanup(patch.stop)

    def load(self, revision: int, value: bytes, sent_at: float) -> bool:
        return self.loader.load(StoredObject("", revision, value), sent_at)

    def test_the_same_revision_confirms_freshness(self) -> None:
        self.load(10, b"3", 100.0)
        self.assertTrue(self.load(10, b"3", 104.0))
        self.assertEqual(self.active_configuration.freshness.confirmed_at, 104.0)

    def test_an_older_revision_from_another_gateway_is_ignored(self) -> None:
        # A delayed response of another gateway contains the previous version. It must
        # neither become active nor make the active version look fresh.
        self.load(11, b"4", 100.0)
        self.assertFalse(self.load(10, b"3", 104.0))
        self.assertEqual(self.active_configuration.version, 4)
        self.assertEqual(self.active_configuration.freshness.confirmed_at, 100.0)

    def test_an_undecodable_value_is_not_relayed(self) -> None:
        # The store contains an invalid value. The active configuration stays, is no
        # longer confirmed by reads, and is the one relayed to other gateways.
        self.load(10, b"3", 100.0)
        self.assertTrue(self.load(11, b"broken", 104.0))
        self.assertEqual(self.active_configuration.version, 3)
        self.assertEqual(self.active_configuration.freshness.confirmed_at, 100.0)
        assert self.loader.stored is not None
        self.assertEqual(self.loader.stored.value, b"3")


if __name__ == "__main__":
    unittest.main()
