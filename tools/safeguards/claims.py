"""Safeguards of the claims of idempotency keys."""

from __future__ import annotations

from mutations import Mutation

MUTATIONS = (
    Mutation(
        "a claim counts as released only once its delayed write cannot take effect",
        "libraries/decisions/src/bamboopier_decisions/claims/partition.py",
        "        must_advance = (\n"
        "            bool(self._abandoned) and self._version "
        "<= self._uncertain_version\n"
        "        )\n",
        "        must_advance = False\n",
        "libraries/decisions",
        "tests.test_claims.ClaimCellTests",
    ),
    Mutation(
        "an abandoned claim is retained while its write may take effect",
        "libraries/decisions/src/bamboopier_decisions/claims/partition.py",
        "        if self._version <= self._uncertain_version:\n"
        "            return\n"
        "        self._uncertain_ids.clear()",
        "        self._uncertain_ids.clear()",
        "libraries/decisions",
        "tests.test_claims.ClaimCellTests",
    ),
    Mutation(
        "an abandoned claim is excluded from every later write",
        "libraries/decisions/src/bamboopier_decisions/claims/partition.py",
        "        kept = [c for c in self._claims if c.claim_id not "
        "in self._abandoned]\n",
        "        kept = list(self._claims)\n",
        "libraries/decisions",
        "tests.test_claims.ClaimCellTests",
    ),
    Mutation(
        "a claimed key is granted again only to the same claim id",
        "libraries/decisions/src/bamboopier_decisions/claims/table.py",
        "    if found.claim_id == claim.claim_id:",
        "    if found.holder == claim.holder:",
        "libraries/decisions",
        "tests.test_claims.ClaimMachineTests",
    ),
    Mutation(
        "a claim abandoned during its write is released",
        "libraries/decisions/src/bamboopier_decisions/claims/partition.py",
        "        written = claim_id in self._in_flight_ids or claim_id in "
        "self._uncertain_ids\n",
        "        written = False\n",
        "libraries/decisions",
        "tests.test_claims.ClaimCellTests",
    ),
    Mutation(
        "a claimed key is not granted for another body",
        "libraries/decisions/src/bamboopier_decisions/claims/table.py",
        "    if found is None:\n",
        "    if found is None or found.fingerprint != claim.fingerprint:\n",
        "libraries/decisions",
        "tests.test_claims.LifetimeTests",
    ),
    Mutation(
        "a lagging replica does not prove that a granted claim is gone",
        "libraries/decisions/src/bamboopier_decisions/claims/partition.py",
        "            self._uncertain_version = max(self._uncertain_version, "
        "granted_at - 1)\n",
        "",
        "libraries/decisions",
        "tests.test_claims.ClaimCellTests",
    ),
    Mutation(
        "a claim cancelled during its write is released",
        "libraries/agent/src/bamboopier_agent/claims.py",
        "        except asyncio.CancelledError:\n"
        "            self._abandon(writer, claim)\n"
        "            raise\n",
        "        except asyncio.CancelledError:\n            raise\n",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_a_claim_cancelled_during_its_write_is_released",
    ),
    Mutation(
        "a stop waits for a claim cancelled as its grant arrived",
        "libraries/agent/src/bamboopier_agent/claims.py",
        "        current.abandon(claim, 0 if current is writer else writer.version)\n",
        "        writer.abandon(claim)\n",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests."
        "test_a_stop_waits_for_a_claim_cancelled_as_it_is_granted",
    ),
    Mutation(
        "a claim is granted only by a write with a response",
        "libraries/agent/src/bamboopier_agent/claim_writer.py",
        "                    self._partition.mark_uncertain(plan)\n"
        "                    last = error\n",
        "                    self._partition.mark_uncertain(plan)\n"
        "                    self._set_outcomes(pending, plan.outcomes)\n"
        "                    return Ok(None)\n",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_at_most_one_is_granted_and_no_key_is_lost",
    ),
    Mutation(
        "a claim write with a lost response is recorded as uncertain",
        "libraries/agent/src/bamboopier_agent/claim_writer.py",
        "                    self._partition.mark_uncertain(plan)\n",
        "                    self._partition.abort()\n",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_at_most_one_is_granted_and_no_key_is_lost",
    ),
    Mutation(
        "a claim is refused in time when the platform is slow",
        "libraries/agent/src/bamboopier_agent/claims.py",
        "            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):",
        "            async with asyncio.timeout(None):",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_a_slow_platform_is_refused_and_the_claim_released",
    ),
    Mutation(
        "an outage leaves no claims to release",
        "libraries/decisions/src/bamboopier_decisions/claims/partition.py",
        "        if granted_at or written or claim_id in self._list_stored_ids():\n"
        "            self._abandoned",
        "        if True:\n            self._abandoned",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_an_outage_leaves_no_pending_work",
    ),
    Mutation(
        "each claim of a key has its own id",
        "libraries/agent/src/bamboopier_agent/claims.py",
        "uuid.uuid4().hex, self._holder",
        "self._holder, self._holder",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_the_same_attempt_twice_is_granted_once",
    ),
    Mutation(
        "a claim outlives the longest request",
        "libraries/agent/src/bamboopier_agent/claims.py",
        "max(service.key_lifetime_seconds, MIN_LIFETIME_SECONDS)",
        "service.key_lifetime_seconds",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_a_claim_outlives_the_longest_request",
    ),
    Mutation(
        "a conflict does not prove that a claim write had no effect",
        "libraries/agent/src/bamboopier_agent/claim_writer.py",
        "                    VersionConflictError() | "
        "PlatformOutcomeUnknownError() as error\n"
        "                ):\n",
        "                    VersionConflictError() as error\n"
        "                ):\n"
        "                    self._partition.abort()\n"
        "                    last = error\n"
        "                case Err(PlatformOutcomeUnknownError() as error):\n",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests."
        "test_a_claim_cancelled_while_its_write_is_resent_is_released",
    ),
)
