"""Configurations as they come from the store or from another gateway."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

from result import Err, Ok, Result

from bamboopier_decisions.forwarding.specs import CallerLimits, DeclaredConfiguration
from bamboopier_objects.objects import StoredObject
from bamboopier_proxy.configuration_intake import ConfigurationIntake
from bamboopier_proxy.knowledge import Knowledge

if TYPE_CHECKING:
    from bamboopier_proxy.vocabulary import Vocabulary


def decode(value: bytes) -> Result[DeclaredConfiguration, str]:
    """Take the value for the version's number."""
    if not value.isdigit():
        return Err("no number")
    return Ok(DeclaredConfiguration(int(value), (), {}, CallerLimits(), None))


class IntakeTests(unittest.TestCase):
    def setUp(self) -> None:
        vocabulary: Vocabulary = mock.Mock(decode_configuration=decode)
        self.knowledge = Knowledge(5.0, lambda _: None)
        self.intake = ConfigurationIntake(vocabulary, self.knowledge)
        for module in ("knowledge", "configuration_intake"):
            patch = mock.patch(f"bamboopier_proxy.{module}.log")
            patch.start()
            self.addCleanup(patch.stop)

    def take(self, revision: int, value: bytes, asked_at: float) -> bool:
        return self.intake.take(StoredObject("", revision, value), asked_at)

    def test_the_same_revision_proves_again(self) -> None:
        self.take(10, b"3", 100.0)
        self.assertTrue(self.take(10, b"3", 104.0))
        self.assertEqual(self.knowledge.currency.confirmed_at, 104.0)

    def test_an_older_revision_from_another_gateway_proves_nothing(self) -> None:
        # Another gateway's answer was held up on its way: it has the version before,
        # and must neither come into force nor make the present one look fresh.
        self.take(11, b"4", 100.0)
        self.assertFalse(self.take(10, b"3", 104.0))
        self.assertEqual(self.knowledge.version, 4)
        self.assertEqual(self.knowledge.currency.confirmed_at, 100.0)

    def test_what_cannot_be_decoded_is_not_handed_on(self) -> None:
        # A broken value lies in the store. What is in force stays, is no longer proved
        # by reads, and is what other gateways get.
        self.take(10, b"3", 100.0)
        self.assertTrue(self.take(11, b"broken", 104.0))
        self.assertEqual(self.knowledge.version, 3)
        self.assertEqual(self.knowledge.currency.confirmed_at, 100.0)
        assert self.intake.stored is not None
        self.assertEqual(self.intake.stored.value, b"3")


if __name__ == "__main__":
    unittest.main()
