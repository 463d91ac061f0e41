"""Only verified blocks are imported into the engine, whatever the stores return.

The tests check the imports that the engine stand-in recorded. The bytes of a block
depend on its weight version and words, so a wrong block has another digest.
"""

from __future__ import annotations

import asyncio
import json
import unittest

from bamboopier_agent.forwarded_request import make_body
from bamboopier_agent.store_link import MAX_CONCURRENT_READS
from bamboopier_agent.target import CacheEvent, CacheEvents

from .context_builders import (
    BLOCK_TOKENS,
    FAST_LINK,
    HISTORY,
    STALLED_LINK,
    ContextHarness,
    build_request,
    list_digests,
    list_names,
)


class BlockIntegrityTests(unittest.IsolatedAsyncioTestCase):
    async def test_damaged_blocks_are_recomputed_and_written_again(self) -> None:
        # A prompt is sent again to a cold engine. The store flips, truncates, swaps or
        # reuses the bytes between look-up and read. Imported, they would put another
        # caller's words into the response, so nothing of them may reach the engine.
        for fault in ("flip", "truncate", "swap", "splice"):
            with self.subTest(fault):
                async with ContextHarness() as harness:
                    request = build_request()
                    await harness.run_and_export(request)
                    harness.restart_cold()
                    harness.stores[0].faults = {fault: 1}
                    self.assertEqual(await harness.run_and_export(request), 0)
                    self.assertEqual(harness.list_imported(), [])
                    harness.restart_cold()
                    self.assertEqual(await harness.run(request), len(HISTORY))
                    self.assertEqual(harness.list_imported(), list_digests(request))

    async def test_a_block_damaged_in_the_store_is_written_again(self) -> None:
        # A bit of the stored block has flipped; its length is right, so the check
        # before an export finds it stored. Unless it is written again, each request
        # with this prompt recomputes.
        async with ContextHarness() as harness:
            request = build_request()
            await harness.run_and_export(request)
            harness.stores[0].blocks[list_names(request)[0]][200] ^= 1
            harness.restart_cold()
            await harness.run_and_export(request)
            self.assertEqual(harness.list_imported(), [])
            self.assertEqual(harness.count_failures("unproved"), 1)
            harness.restart_cold()
            self.assertEqual(await harness.run(request), len(HISTORY))

    async def test_a_foreign_or_older_block_under_the_name_is_not_imported(
        self,
    ) -> None:
        # The store returns a complete, sealed block of another workspace or weight
        # version, or a later block of the same prompt.
        request = build_request()
        others = {
            "workspace": build_request(workspace="gouda"),
            "version": build_request(version="v0"),
            "block": build_request(HISTORY[BLOCK_TOKENS:]),
        }
        for what, other in others.items():
            with self.subTest(what):
                async with ContextHarness() as harness:
                    harness.engine.version = other.model.weight_version
                    await harness.run_and_export(other)
                    harness.engine.version = "v1"
                    blocks = harness.stores[0].blocks
                    blocks[list_names(request)[0]] = blocks[list_names(other)[0]]
                    harness.restart_cold()
                    self.assertEqual(await harness.run(request), 0)
                    self.assertEqual(harness.list_imported(), [])

    async def test_a_writer_killed_at_any_byte_leaves_no_block(self) -> None:
        # The agent is killed during a write, and the store keeps the bytes received
        # under the block's name. The next reader must treat them as a miss, and the
        # next writer must not treat the truncated block as stored.
        async with ContextHarness() as harness:
            request = build_request(HISTORY[:BLOCK_TOKENS])
            await harness.run_and_export(request)
            complete_size = len(harness.stores[0].blocks[list_names(request)[0]])
            for cut in range(0, complete_size, 17):
                harness.stores[0].blocks.clear()
                harness.restart_cold()
                harness.stores[0].faults = {"cut": cut}
                await harness.run_and_export(request)
                stored = harness.stores[0].blocks[list_names(request)[0]]
                self.assertEqual(len(stored), cut)
                harness.stores[0].faults = {}
                harness.restart_cold()
                await harness.run_and_export(request)
                self.assertEqual(harness.list_imported(), [], cut)
                harness.restart_cold()
                await harness.run(request)
                self.assertEqual(harness.list_imported(), list_digests(request), cut)

    async def test_a_torn_write_does_not_count_as_a_stored_block(self) -> None:
        # The writer was killed halfway. Its successor fetches nothing, because the
        # engine has the blocks, and only checks whether the store has the block.
        async with ContextHarness() as harness:
            request = build_request()
            harness.stores[0].faults = {"cut": 200}
            await harness.run_and_export(request)
            harness.stores[0].faults = {}
            harness.restart_agent()
            await harness.run_and_export(request, fetch=False)
            harness.restart_cold()
            await harness.run(request)
            self.assertEqual(harness.list_imported(), list_digests(request))

    async def test_a_swap_between_run_and_export_stores_nothing(self) -> None:
        # The engine loads new weights while the agent still assumes v1. The prompt runs
        # with v2, and the engine has its block under v1's key. If it were stored, it
        # would be served to a caller of v1 with a valid digest.
        async with ContextHarness() as harness:
            harness.engine.version = "v2"
            await harness.run_and_export(build_request(version="v1"))
            self.assertEqual(list(harness.stores[0].blocks), [])

    async def test_a_stale_view_of_the_cache_costs_only_a_recomputation(
        self,
    ) -> None:
        # The engine evicts blocks and its events are lost. For the first prompt that is
        # sent again the agent fetches nothing and the engine recomputes. The reported
        # number of cached tokens invalidates all older blocks that are assumed
        # resident, as a gap in the events does.
        async with ContextHarness() as harness:
            older, request = build_request(HISTORY[::-1]), build_request()
            for gap in (False, True):
                await harness.run_and_export(older)
                await harness.run_and_export(request)
                harness.engine.cache.clear()
                harness.engine.imports.clear()
                if gap:
                    lost = CacheEvents("s", 9, [CacheEvent("stored", "00")])
                    harness.manager.apply_events(lost, gap=True)
                cached = await harness.run(request)
                self.assertEqual(cached, len(HISTORY) if gap else 0)
                self.assertEqual(await harness.run(older), len(HISTORY))


class StoreFailureTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_hung_store_times_out_and_is_then_skipped(self) -> None:
        # The store accepts the connection and never responds, or sends the head and
        # then nothing. The caller waits for the plan's timeout, not for the store, and
        # later callers do not wait for this store again.
        for fault in ("frozen", "drip"):
            with self.subTest(fault):
                async with ContextHarness() as harness:
                    request = build_request()
                    await harness.run_and_export(request)
                    harness.restart_cold()
                    harness.link_rate.rate = FAST_LINK
                    harness.stores[0].faults = {fault: 99}
                    reads = harness.count_calls("GET")
                    for _ in range(3):
                        self.assertEqual(await harness.run(request), 0)
                        harness.engine.cache.clear()
                        harness.manager.clear_resident()
                    read_calls = harness.count_calls("GET") - reads
                    self.assertLessEqual(read_calls, 2 * len(request.model.block_keys))
                    self.assertGreater(harness.count_failures("hung"), 0)
                    self.assertEqual(harness.list_imported(), [])

    async def test_a_dead_store_falls_back_to_the_other_replica(self) -> None:
        async with ContextHarness(stores=2) as harness:
            harness.restart_agent(replicas=2)
            request = build_request()
            await harness.run_and_export(request)
            self.assertEqual([len(s.blocks) for s in harness.stores], [3, 3])
            harness.restart_cold()
            harness.configure(replicas=2, data_centre="dc-0")
            harness.stores[0].blocks.clear()
            self.assertEqual(await harness.run(request), len(HISTORY))

    async def test_a_full_store_fails_the_export_only(self) -> None:
        async with ContextHarness() as harness:
            harness.stores[0].faults = {"full": 1}
            request = build_request()
            await harness.run_and_export(request)
            self.assertEqual(harness.stores[0].blocks, {})
            self.assertEqual(await harness.run(request), len(HISTORY))

    async def test_after_a_change_the_former_owner_is_read_too(self) -> None:
        async with ContextHarness(stores=2) as harness:
            harness.restart_agent(store_vms=harness.vms[:1])
            requests = [build_request((f"p{n}", *HISTORY)) for n in range(4)]
            for request in requests:
                await harness.run_and_export(request)
            harness.engine.cache.clear()
            harness.manager.clear_resident()
            harness.configure()
            for request in requests:
                self.assertEqual(await harness.run(request), len(HISTORY))


class LinkUseTests(unittest.IsolatedAsyncioTestCase):
    async def test_concurrent_requests_fetch_a_block_once(self) -> None:
        async with ContextHarness() as harness:
            request = build_request()
            await harness.run_and_export(request)
            harness.restart_cold()
            reads = harness.count_calls("GET")
            await asyncio.gather(*(harness.manager.fetch(request) for _ in range(5)))
            reads = harness.count_calls("GET") - reads
            self.assertEqual(reads, len(request.model.block_keys))

    async def test_many_returning_prompts_are_read_a_few_blocks_at_a_time(self) -> None:
        # A data centre recovers and twenty prompts are sent again at the same time.
        # Read all at once, their blocks would exceed the memory of the agent's VM.
        async with ContextHarness() as harness:
            requests = [build_request((f"p{n}", *HISTORY)) for n in range(20)]
            for request in requests:
                await harness.run_and_export(request)
            harness.restart_cold()
            harness.stores[0].max_concurrent_reads = 0
            await asyncio.gather(*(harness.manager.fetch(r) for r in requests))
            self.assertLessEqual(
                harness.stores[0].max_concurrent_reads, MAX_CONCURRENT_READS
            )
            self.assertEqual(len(harness.engine.imports), 20 * 3)

    async def test_a_restarted_agent_does_not_send_stored_blocks_again(self) -> None:
        async with ContextHarness() as harness:
            request = build_request()
            await harness.run_and_export(request)
            writes = harness.count_calls("PUT")
            harness.restart_agent()
            await harness.run_and_export(request, fetch=False)
            self.assertEqual(harness.count_calls("PUT"), writes)

    async def test_evicted_blocks_are_written_again_by_one_request(self) -> None:
        # Another agent evicted a prompt's last two blocks. This agent, which wrote
        # them, finds the first one missing. If the second were still assumed stored,
        # each request with this prompt would restore only one block.
        async with ContextHarness() as harness:
            request = build_request()
            await harness.run_and_export(request)
            for name in list_names(request)[1:]:
                del harness.stores[0].blocks[name]
            harness.engine.cache.clear()
            harness.manager.clear_resident()
            self.assertEqual(await harness.run_and_export(request), BLOCK_TOKENS)
            self.assertEqual(set(harness.stores[0].blocks), set(list_names(request)))

    async def test_a_slow_link_is_not_used_until_it_may_have_recovered(self) -> None:
        # The link has become a thousand times slower than prefill, so nothing is read,
        # and nothing is written because it would not be read.
        async with ContextHarness() as harness:
            request = build_request()
            harness.link_rate.rate = STALLED_LINK
            await harness.run_and_export(request)
            self.assertEqual(harness.count_calls("PUT"), 0)
            harness.restart_cold()
            await harness.run_and_export(request)
            harness.restart_cold()
            harness.link_rate.rate = STALLED_LINK
            reads = harness.count_calls("GET")
            self.assertEqual(await harness.run(request), 0)
            self.assertEqual(harness.count_calls("GET"), reads)


class WorkspaceTests(unittest.IsolatedAsyncioTestCase):
    async def test_the_same_prompt_in_two_workspaces_shares_nothing(self) -> None:
        # Two workspaces send the same words. Neither the engine's cache nor the store
        # may reveal to one, by timing or content, that the other sent them.
        async with ContextHarness() as harness:
            first, second = build_request(), build_request(workspace="gouda")
            await harness.run_and_export(first)
            self.assertEqual(await harness.run_and_export(second), 0)
            self.assertFalse(set(list_names(first)) & set(list_names(second)))
            harness.restart_cold()
            await harness.run(second)
            salts = {entry["salt"] for entry in harness.engine.imports}
            self.assertEqual(salts, {"salt-gouda"})

    def test_a_caller_cannot_choose_the_salt_or_the_keys(self) -> None:
        # A field of this name set by the caller would give access to another
        # workspace's blocks in the engine's cache.
        request = build_request()
        request.body = (
            b'{"prompt": "p", "cache_salt": "salt-gouda", "block_keys": ["aa"]}'
        )
        body = json.loads(make_body(request))
        self.assertEqual(body["cache_salt"], "salt-fosse")
        self.assertEqual(len(body["block_keys"]), len(request.model.block_keys))

    async def test_a_workspace_that_fills_the_store_evicts_only_itself(self) -> None:
        # One workspace writes ten times the store's capacity, through an agent that
        # receives 507 repeatedly. The other workspace has one prompt there, below its
        # share.
        async with ContextHarness() as harness:
            quiet = build_request(workspace="gouda")
            await harness.run_and_export(quiet)
            harness.stores[0].capacity = 4 * harness.stores[0].used
            for number in range(40):
                await harness.run_and_export(build_request((f"p{number}", *HISTORY)))
            self.assertLessEqual(set(list_names(quiet)), set(harness.stores[0].blocks))
            self.assertGreater(harness.count_calls("DELETE"), 0)
            calls = {
                m: harness.count_calls(m) for m in ("HEAD", "PUT", "DELETE", "GET")
            }
            # A block costs at most a check, two writes and a delete; lists are limited.
            self.assertLessEqual(calls["HEAD"] + calls["DELETE"], 2 * 41 * 3)
            self.assertLessEqual(calls["PUT"], 2 * 41 * 3)
            self.assertLessEqual(calls["GET"], 41 * 3 + 5)
