"""Scans of documents that a decoder may reject."""

from __future__ import annotations

import asyncio
import json
import random
import tracemalloc
import unittest
from typing import Any

from bamboopier_objects.json_scanner import SLICE_BYTES, JsonScanner, ScanError

SEEDS = range(300)
LARGE = 900_000
# Documents of ``LARGE`` bytes that cost the most, each in another way.
COSTLY = {
    "small members": b"{" + b",".join([b'"a":1'] * (LARGE // 6)) + b"}",
    "lists": b"[" * (LARGE // 2) + b"]" * (LARGE // 2),
    "objects": b'{"a":' * (LARGE // 6) + b"1" + b"}" * (LARGE // 6),
    "empty lists": b"[" + b",".join([b"[]"] * (LARGE // 3)) + b"]",
    "empty strings": b"[" + b",".join([b'""'] * (LARGE // 3)) + b"]",
    "words": b"[" + b",".join([b"false", b"null", b"-1.5e+7"] * (LARGE // 19)) + b"]",
    "one string": b'"' + b"x" * LARGE + b'"',
    "backslashes": b'["' + b"\\" * LARGE + b'"]',
    "escaped quotes": b'["' + b'\\"' * (LARGE // 2) + b'"]',
    "digits": b"9" * LARGE,
}
# Memory that a scan may need beside the document: some slices in pieces.
MEMORY_BYTES = 4 * 1024 * 1024


async def split_array(document: bytes) -> list[bytes]:
    """Return the elements of an array."""
    scanner = JsonScanner(document)
    scanner.enter(b"[")
    elements = []
    while scanner.find_element():
        elements.append(scanner.read(await scanner.skip_value()))
    return elements


async def split_object(document: bytes) -> dict[str, bytes]:
    """Return the members of an object by name."""
    scanner = JsonScanner(document)
    scanner.enter(b"{")
    members = {}
    while (key := await scanner.find_key()) is not None:
        name = json.loads(scanner.read(key))
        members[name] = scanner.read(await scanner.skip_value())
    return members


class JsonScannerTests(unittest.IsolatedAsyncioTestCase):
    def make_value(self, generator: random.Random, depth: int = 0) -> Any:
        kind = generator.randrange(4 if depth > 3 else 6)
        if kind == 4:
            count = generator.randrange(4)
            return [self.make_value(generator, depth + 1) for _ in range(count)]
        if kind == 5:
            count = generator.randrange(4)
            return {
                self.make_text(generator): self.make_value(generator, depth + 1)
                for _ in range(count)
            }
        return (self.make_text(generator), generator.random(), None, True)[kind]

    def make_text(self, generator: random.Random) -> str:
        letters = 'ab,:{}[]"\\ \n\té'
        length = generator.choice((3, 6, 700))
        return "".join(
            generator.choice(letters) for _ in range(generator.randrange(length))
        )

    async def test_members_of_any_document_are_split_as_a_decoder_does(self) -> None:
        """Guards against brackets and quotes within strings that shift a member."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                generator = random.Random(seed)
                elements = [self.make_value(generator) for _ in range(4)]
                indent = generator.choice((None, 2))
                document = json.dumps(elements, indent=indent).encode()
                split = [json.loads(x) for x in await split_array(document)]
                self.assertEqual(split, elements)
                members = {self.make_text(generator): e for e in elements}
                document = json.dumps(members, indent=indent).encode()
                found = await split_object(document)
                self.assertEqual({k: json.loads(v) for k, v in found.items()}, members)

    async def test_any_bytes_end_in_members_or_an_error_that_is_known(self) -> None:
        for seed in SEEDS:
            generator = random.Random(seed)
            document = bytes(generator.choices(b'{}[],:"\\a1\xff ', k=60))
            for begin in (b"[", b"{"):
                scanner = JsonScanner(begin + document)
                try:
                    scanner.enter(begin)
                    while scanner.find_element():
                        await scanner.skip_value()
                except ScanError:
                    continue

    async def test_other_tasks_run_beside_a_scan(self) -> None:
        """Guards against one value whose scan keeps a process from serving."""
        for name, document in COSTLY.items():
            with self.subTest(name):
                turns = await self.count_turns(document)
                self.assertGreater(turns, len(document) / SLICE_BYTES / 2)

    async def count_turns(self, document: bytes) -> int:
        """Return how often other tasks have run while a value was passed over."""
        turns = 0

        async def take_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        other = asyncio.create_task(take_turns())
        scanner = JsonScanner(document)
        span = await scanner.skip_value()
        other.cancel()
        self.assertEqual(len(span), len(document))
        return turns

    async def test_a_scan_needs_little_memory(self) -> None:
        """Guards against one value whose scan takes a process's memory."""
        for name, document in COSTLY.items():
            with self.subTest(name):
                tracemalloc.start()
                try:
                    await self.count_turns(document)
                    peak = tracemalloc.get_traced_memory()[1]
                finally:
                    tracemalloc.stop()
                self.assertLess(peak, MEMORY_BYTES)


if __name__ == "__main__":
    unittest.main()
