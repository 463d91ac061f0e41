"""Tests block reuse for repeated prompts while agents and stores are killed.

The engine's list of imports is checked: each digest must be that of the expected block,
whose bytes are determined by its weight version and words.
"""

from __future__ import annotations

import hashlib
import json
import signal
import time
import unittest

from processes import Installation, fetch, send

from bamboopier_standins.engine import make_block

from .builders import DESK, FOSSE_KEY, Response, build_small_installation, call

BLOCK_TOKENS = 2000
BLOCKS = 3
WORDS = [f"visit-{n}" for n in range(BLOCKS * BLOCK_TOKENS)]
WAIT_TIMEOUT_SECONDS = 20.0


class BlockTests(unittest.TestCase):
    def setUp(self) -> None:
        self.installation = self.enterContext(Installation())
        build_small_installation(self.installation)
        store = next(vm for vm in self.installation.vms if vm["role"] == "store")
        self.store_url = f"http://{store['address']}"

    def test_blocks_are_imported_after_engine_and_agent_are_replaced(self) -> None:
        # A prompt runs and its blocks are exported. After engine cache and agent are
        # replaced, the blocks are imported from the store. While the store is frozen,
        # and after it is killed, requests succeed and the engine imports nothing more.
        self.request_completion()
        self.wait_for_blocks(BLOCKS)
        self.reset_engine_and_agent()
        self.assertEqual(self.request_completion(), BLOCKS * BLOCK_TOKENS)
        self.assertEqual(self.list_imported(), list_digests())

        store = self.installation.daemons["store-1"]
        store.send(signal.SIGSTOP)
        self.reset_engine_and_agent()
        self.assertEqual(self.request_completion(), 0)
        store.kill()
        self.reset_engine_and_agent()
        self.assertEqual(self.request_completion(), 0)
        self.assertEqual(self.list_imported(), list_digests())

    def test_a_partial_block_write_is_not_imported(self) -> None:
        # The agent is killed during a block write and the store retains the partial
        # block. The next agent treats it as a miss and writes the complete block.
        send("POST", f"{self.store_url}/faults", {"cut": 70_000})
        self.request_completion()
        self.wait_for_blocks(1)
        self.installation.daemons[f"{DESK}-agent"].kill()
        send("POST", f"{self.store_url}/faults", {})
        self.reset_engine_and_agent()
        self.assertEqual(self.request_completion(), 0)
        self.assertEqual(self.list_imported(), [])
        self.wait_for_blocks(BLOCKS, complete=True)
        self.reset_engine_and_agent()
        self.assertEqual(self.request_completion(), BLOCKS * BLOCK_TOKENS)
        self.assertEqual(self.list_imported(), list_digests())

    def request_completion(self) -> int:
        """Send the prompt as a caller; return the number of cached tokens."""
        body = {"model": "pillar-8b", "prompt": " ".join(WORDS), "max_tokens": 2}
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        response = self.call(body)
        # The gateway finds the new agent when it next reads the VM list. Until then it
        # calls the killed agent and reports an unknown outcome.
        while response.status in (502, 503) and time.monotonic() < deadline:
            time.sleep(0.1)
            response = self.call(body)
        self.assertEqual(response.status, 200, response.body)
        usage = json.loads(response.body)["usage"]
        return int(usage["prompt_tokens_details"]["cached_tokens"])

    def call(self, body: object) -> Response:
        url = self.installation.gateways["gateway-1"]
        return call(url, "POST", "/v1/completions", body, key=FOSSE_KEY)

    def reset_engine_and_agent(self) -> None:
        """Clear the engine's cache and replace the agent with one without state."""
        self.installation.daemons[f"{DESK}-agent"].kill()
        send("POST", f"{self.installation.targets[DESK]}/evict", {})
        self.installation.start_agent(DESK, "fault-desk", "dc-east")
        self.installation.wait_until_ready()

    def wait_for_blocks(self, count: int, *, complete: bool = False) -> None:
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        min_bytes = count * BLOCK_TOKENS * 64 if complete else 0
        stats = {"blocks": 0, "used": 0}
        while time.monotonic() < deadline:
            stats = json.loads(fetch(f"{self.store_url}/stats"))
            if stats["blocks"] >= count and stats["used"] >= min_bytes:
                return
            time.sleep(0.05)
        self.fail(f"the store has {stats}")

    def list_imported(self) -> list[str]:
        url = f"{self.installation.targets[DESK]}/imports"
        return [entry["digest"] for entry in json.loads(fetch(url))]


def list_digests() -> list[str]:
    """Return the digests of the prompt's blocks under version v1."""
    ends = range(BLOCK_TOKENS, len(WORDS) + 1, BLOCK_TOKENS)
    blocks = [make_block("v1", WORDS[:end], BLOCK_TOKENS) for end in ends]
    return [hashlib.sha256(block).hexdigest() for block in blocks]
