"""Safeguards, each with the change that removes it and the test that then fails."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Mutation:
    """A change that removes a safeguard and must make a test fail.

    ``old`` is replaced by ``new`` in ``file``. ``suite`` is the folder whose tests are
    run (``.`` for the system tests) and ``test`` a dotted name below it.
    """

    safeguard: str
    file: str
    old: str
    new: str
    suite: str
    test: str


MUTATIONS = (
    Mutation(
        "the reader of a block checks its digest",
        "libraries/decisions/src/bamboopier_decisions/context/envelope.py",
        "    if not hmac.compare_digest(_compute_digest(secret, content), digest):\n"
        "        return None\n",
        "",
        "libraries/decisions",
        "tests.test_envelope",
    ),
    Mutation(
        "the reader of a block checks its key and version",
        "libraries/decisions/src/bamboopier_decisions/context/envelope.py",
        "        and found_key == key\n        and name == version.encode()\n",
        "",
        "libraries/agent",
        "tests.test_context.BlockIntegrityTests.test_a_foreign_or_older_block_under_the_name_is_not_imported",
    ),
    Mutation(
        "the secret of a block is derived from its workspace",
        "libraries/decisions/src/bamboopier_decisions/context/blocks.py",
        "        workspace.encode(), key=block_secret, digest_size=KEY_BYTES,",
        '        b"all", key=block_secret, digest_size=KEY_BYTES,',
        "libraries/agent",
        "tests.test_context.WorkspaceTests.test_the_same_prompt_in_two_workspaces_shares_nothing",
    ),
    Mutation(
        "a truncated write is detected by its length",
        "libraries/agent/src/bamboopier_agent/block_exporter.py",
        "result.ok_value == size",
        "result.ok_value >= 0",
        "libraries/agent",
        "tests.test_context.BlockIntegrityTests.test_a_torn_write_does_not_count_as_a_stored_block",
    ),
    Mutation(
        "a damaged block is written again",
        "libraries/agent/src/bamboopier_agent/block_exporter.py",
        "        if name.key in self._damaged_keys:\n            return False\n",
        "",
        "libraries/agent",
        "tests.test_context.BlockIntegrityTests.test_a_block_damaged_in_the_store_is_written_again",
    ),
    Mutation(
        "an export is discarded if another weight version made it",
        "libraries/agent/src/bamboopier_agent/target.py",
        "                if response.headers.get(VERSION_HEADER) != version:\n"
        "                    return None\n",
        "",
        "libraries/agent",
        "tests.test_context.BlockIntegrityTests.test_a_swap_between_run_and_export_stores_nothing",
    ),
    Mutation(
        "a gap in cache events invalidates the view of the cache",
        "libraries/agent/src/bamboopier_agent/context.py",
        "        if gap:\n            self._resident.clear()\n",
        "",
        "libraries/agent",
        "tests.test_context.BlockIntegrityTests.test_a_stale_view_of_the_cache_costs_only_a_recomputation",
    ),
    Mutation(
        "an unresponsive store VM is skipped",
        "libraries/agent/src/bamboopier_agent/store_link.py",
        "self.health.record_failure(time.monotonic(), vm.name)",
        "pass",
        "libraries/agent",
        "tests.test_context.StoreFailureTests.test_a_hung_store_times_out_and_is_then_skipped",
    ),
    Mutation(
        "concurrent requests for a block share one read",
        "libraries/agent/src/bamboopier_agent/block_fetcher.py",
        "        pending_read = self._pending_reads.get(name.key)\n"
        "        if pending_read is None:",
        "        pending_read = None\n        if pending_read is None:",
        "libraries/agent",
        "tests.test_context.LinkUseTests.test_concurrent_requests_fetch_a_block_once",
    ),
    Mutation(
        "an export checks whether the block is already stored",
        "libraries/agent/src/bamboopier_agent/block_exporter.py",
        "return isinstance(result, Ok) and result.ok_value == size",
        "return False",
        "libraries/agent",
        "tests.test_context.LinkUseTests.test_a_restarted_agent_does_not_send_stored_blocks_again",
    ),
    Mutation(
        "eviction starts with the workspace that holds most for its weight",
        "libraries/decisions/src/bamboopier_decisions/context/eviction.py",
        "    by_tag, foreign = _group_by_tag(names)\n",
        "    return list(names)[:count]\n",
        "libraries/agent",
        "tests.test_context.WorkspaceTests.test_a_workspace_that_fills_the_store_evicts_only_itself",
    ),
    Mutation(
        "a fetch timeout never exceeds the time of recomputing",
        "libraries/decisions/src/bamboopier_decisions/context/fetch_choice.py",
        "min(max_wait, timeout)",
        "timeout",
        "libraries/decisions",
        "tests.test_fetch_choice.FetchChoiceTests.test_no_caller_waits_longer_for_a_store_than_recomputing_costs",
    ),
    Mutation(
        "an export reserves no link budget while it waits",
        "libraries/decisions/src/bamboopier_decisions/context/link_budget.py",
        "        if wait <= 0:\n            self._all.tokens",
        "        if True:\n            self._all.tokens",
        "libraries/decisions",
        "tests.test_link_budget.LinkBudgetTests.test_an_export_lets_waiting_fetches_go_first",
    ),
    Mutation(
        "an agent limits its concurrent block reads",
        "libraries/agent/src/bamboopier_agent/store_link.py",
        "asyncio.Semaphore(MAX_CONCURRENT_READS)",
        "asyncio.Semaphore(1000)",
        "libraries/agent",
        "tests.test_context.LinkUseTests."
        "test_many_returning_prompts_are_read_a_few_blocks_at_a_time",
    ),
    Mutation(
        "a caller's own cache salt is overwritten",
        "libraries/agent/src/bamboopier_agent/forwarded_request.py",
        '    body["cache_salt"] = request.model.cache_salt\n',
        "",
        "libraries/agent",
        "tests.test_context.WorkspaceTests."
        "test_a_caller_cannot_choose_the_salt_or_the_keys",
    ),
    Mutation(
        "blocks after a missing one are assumed to be missing",
        "libraries/agent/src/bamboopier_agent/context.py",
        "        for key in keys[1:]:\n"
        "            self.exporter.invalidate_stored(key, damaged=False)\n",
        "",
        "libraries/agent",
        "tests.test_context.LinkUseTests."
        "test_evicted_blocks_are_written_again_by_one_request",
    ),
    Mutation(
        "the engine's cache is salted by workspace",
        "libraries/gateway/src/bamboopier_gateway/prompt.py",
        'hmac.digest(secret, b"cache salt", "sha256")',
        'hmac.digest(b"s", b"cache salt", "sha256")',
        "libraries/gateway",
        "tests.test_prompt",
    ),
    Mutation(
        "an agent opens its port once it has checked its target",
        "libraries/agent/src/bamboopier_agent/daemon.py",
        "        await monitor.wait_until_checked(FIRST_CHECK_TIMEOUT_SECONDS)\n",
        "",
        ".",
        "tests.test_readiness.ReadinessTests."
        "test_the_first_report_of_an_agent_follows_a_check_of_its_target",
    ),
)
