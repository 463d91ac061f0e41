"""Tests of the datagrams between processes."""

from __future__ import annotations

import unittest

import msgspec

from bamboopier_proxy.hints import (
    MAX_BYTES,
    CompletedPartHint,
    CrashHint,
    DemandHint,
    FreshnessRequest,
    FreshnessResponse,
    Hint,
    LoadHint,
    PartCrashHint,
    PartHint,
    QuarantineHint,
    RefusedPartHint,
    StreamQuery,
    TargetLimitHint,
    TargetLoadHint,
    WeightLoadHint,
    decode,
    encode,
    shorten,
)
from bamboopier_proxy.load_hints import MAX_DEMANDS
from bamboopier_proxy.part_evidence import MAX_REFUSED
from bamboopier_proxy.part_outbox import MAX_COMPLETED, MAX_CRASHES


class HintTests(unittest.TestCase):
    def test_every_hint_round_trips(self) -> None:
        loads = [TargetLoadHint("i-1", 3, 1000, 500)]
        hints: list[Hint] = [
            LoadHint(
                "gateway-1",
                4,
                123,
                loads,
                [CrashHint(b"\x00\xff", "i-2", 120, 20)],
                refused=[QuarantineHint(b"\x00\xff", 599_000)],
                demands=[DemandHint("desk", 12.5)],
            ),
            PartHint(
                "gateway-1",
                [PartCrashHint(b"\x00\xff", b"\xff", "i-2", 120, 20)],
                [CompletedPartHint(b"\xff", 20)],
                [RefusedPartHint(b"\x00", 900, 599_000, None)],
            ),
            WeightLoadHint("i-1", "m", 3, 1500),
            FreshnessRequest("gateway-1", 2**32),
            FreshnessResponse(2**32, 7, 1200),
        ]
        for hint in hints:
            with self.subTest(hint):
                self.assertEqual(decode(encode(hint)), hint)

    def test_invalid_datagrams_are_dropped(self) -> None:
        for data in (b"", b"\x00", b"hello", b"\x93\xa4load", bytes(1400)):
            with self.subTest(data):
                self.assertIsNone(decode(data))

    def test_the_largest_hint_fits_a_datagram(self) -> None:
        loads = [
            TargetLoadHint(f"i-{n:010d}", 128, 170_000, 99_999, 65_000, 65_000)
            for n in range(24)
        ]
        crashes = [CrashHint(bytes(12), f"i-{n:010d}", 12_000, 9999) for n in range(8)]
        refused = [QuarantineHint(bytes(12), 600_000) for _ in range(8)]
        limits = [
            TargetLimitHint(f"i-{n:010d}", 10**13, 12.5, 9999, 9999, 9999)
            for n in range(8)
        ]
        demands = [DemandHint(f"service-name-{n}", 1234.56) for n in range(MAX_DEMANDS)]
        hint = LoadHint(
            "front-west-midlands-12",
            10**9,
            10**13,
            loads,
            crashes,
            limits,
            refused,
            demands,
        )
        shortened = shorten(hint)
        self.assertLessEqual(len(encode(shortened)), MAX_BYTES)
        self.assertEqual(shortened.loads, loads[: len(shortened.loads)])
        self.assertGreater(len(shortened.loads), 12)
        self.assertEqual(shortened.refused, refused)
        self.assertEqual(shortened.demands, demands)

    def test_the_largest_message_of_parts_fits_a_datagram(self) -> None:
        crashes = [
            PartCrashHint(bytes(8), bytes(12), f"i-{n:010d}", 12_000, 9999)
            for n in range(MAX_CRASHES)
        ]
        completed = [CompletedPartHint(bytes(8), 600_000) for _ in range(MAX_COMPLETED)]
        refused = [
            RefusedPartHint(bytes(8), 600_000, 600_000, 600_000)
            for _ in range(MAX_REFUSED)
        ]
        hint = PartHint("front-west-midlands-12", crashes, completed, refused)
        self.assertLessEqual(len(encode(hint)), MAX_BYTES)

    def test_a_field_that_a_later_version_adds_is_ignored(self) -> None:
        # Guards against gateways that know nothing of each other during an update.
        hint = StreamQuery(1, b"key", ["desk"], 30.0)
        data = msgspec.msgpack.encode([*msgspec.msgpack.decode(encode(hint)), "later"])
        self.assertEqual(decode(data), hint)


if __name__ == "__main__":
    unittest.main()
