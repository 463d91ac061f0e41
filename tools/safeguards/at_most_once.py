"""The safeguards of "at most once", "not run" and whole answers."""

from __future__ import annotations

from mutations import Mutation

MUTATIONS = (
    Mutation(
        "a delayed claim write is made impossible before its claim counts as released",
        "libraries/decisions/src/bamboopier_decisions/claims/partition.py",
        "        may_land = bool(self._abandoned) and self._version "
        "<= self._uncertain\n",
        "        may_land = False\n",
        "libraries/decisions",
        "tests.test_claims.ClaimCellTests",
    ),
    Mutation(
        "a given-up claim is remembered while its write may land",
        "libraries/decisions/src/bamboopier_decisions/claims/partition.py",
        "        if self._version <= self._uncertain:\n"
        "            return\n"
        "        self._may_land.clear()",
        "        self._may_land.clear()",
        "libraries/decisions",
        "tests.test_claims.ClaimCellTests",
    ),
    Mutation(
        "a given-up claim is left out of every later write",
        "libraries/decisions/src/bamboopier_decisions/claims/partition.py",
        "        kept = [c for c in self._claims if c.claim_id not "
        "in self._abandoned]\n",
        "        kept = list(self._claims)\n",
        "libraries/decisions",
        "tests.test_claims.ClaimCellTests",
    ),
    Mutation(
        "only the claim's own id is granted again",
        "libraries/decisions/src/bamboopier_decisions/claims/table.py",
        "    if found.claim_id == claim.claim_id:",
        "    if found.holder == claim.holder:",
        "libraries/decisions",
        "tests.test_claims.ClaimMachineTests",
    ),
    Mutation(
        "a claim given up during its write is released",
        "libraries/decisions/src/bamboopier_decisions/claims/partition.py",
        "        written = claim_id in self._in_flight or claim_id in self._may_land\n",
        "        written = False\n",
        "libraries/decisions",
        "tests.test_claims.ClaimCellTests",
    ),
    Mutation(
        "a key that stands is not granted for another body",
        "libraries/decisions/src/bamboopier_decisions/claims/table.py",
        "    if found is None:\n",
        "    if found is None or found.fingerprint != claim.fingerprint:\n",
        "libraries/decisions",
        "tests.test_claims.LifetimeTests",
    ),
    Mutation(
        "an older replica does not prove a granted claim gone",
        "libraries/decisions/src/bamboopier_decisions/claims/partition.py",
        "            self._uncertain = max(self._uncertain, granted_at - 1)\n",
        "",
        "libraries/decisions",
        "tests.test_claims.ClaimCellTests",
    ),
    Mutation(
        "the HTTP client never sends a run again",
        "libraries/agent/src/bamboopier_agent/target.py",
        "            middlewares=(_send_once,),\n",
        "",
        "libraries/agent",
        "tests.test_target.TargetClientTests.test_no_method_is_sent_twice",
    ),
    Mutation(
        "each run has a connection of its own",
        "libraries/agent/src/bamboopier_agent/target.py",
        "aiohttp.TCPConnector(limit=0, force_close=True)",
        "aiohttp.TCPConnector(limit=0)",
        "libraries/agent",
        "tests.test_target.TargetClientTests.test_a_connection_closed_after_an_answer_is_not_used_again",
    ),
    Mutation(
        "an attempt that arrives twice runs once",
        "libraries/agent/src/bamboopier_agent/service.py",
        "        if not self._seen.add(request.attempt_id):",
        "        if False:",
        "libraries/agent",
        "tests.test_service.ServeTests.test_an_attempt_that_arrives_twice_runs_once",
    ),
    Mutation(
        "a non-idempotent run goes on when its gateway leaves",
        "libraries/agent/src/bamboopier_agent/service.py",
        "            if not stream.detached:\n                run.cancel()",
        "            run.cancel()",
        "libraries/agent",
        "tests.test_service.ServeTests.test_a_run_goes_on_when_its_gateway_leaves",
    ),
    Mutation(
        "an idempotent run is cut when its gateway leaves",
        "libraries/agent/src/bamboopier_agent/service.py",
        "        stream.detached = not request.idempotent\n",
        "        stream.detached = True\n",
        "libraries/agent",
        "tests.test_service.ServeTests.test_an_idempotent_run_is_cut_when_its_gateway_leaves",
    ),
    Mutation(
        "a claim left while it is written is released",
        "libraries/agent/src/bamboopier_agent/claims.py",
        "        except asyncio.CancelledError:\n"
        "            self._abandon(writer, claim)\n"
        "            raise\n",
        "        except asyncio.CancelledError:\n            raise\n",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_a_claim_left_while_it_is_written_is_released",
    ),
    Mutation(
        "an unused claim is released before not-run is said",
        "libraries/agent/src/bamboopier_agent/service.py",
        "                        await self._claims.release(service, granted)\n",
        "",
        "libraries/agent",
        "tests.test_service.ServeTests.test_an_unreachable_target_frees_the_key_before_it_is_said",
    ),
    Mutation(
        "a key that cannot be freed yet is said not to have run",
        "libraries/agent/src/bamboopier_agent/service.py",
        "        if self._claims.is_abandoned(request.workspace, "
        "request.idempotency_key):\n"
        "            return pb.RecallReply(state=pb.RecallReply.NEVER_RAN)\n",
        "",
        "libraries/agent",
        "tests.test_service.ServeTests.test_a_key_that_cannot_be_freed_yet_is_said_not_to_have_run",
    ),
    Mutation(
        "a stop waits for a claim left as its grant arrived",
        "libraries/agent/src/bamboopier_agent/claims.py",
        "        current.abandon(claim, 0 if current is writer else writer.version)\n",
        "        writer.abandon(claim)\n",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests."
        "test_a_stop_waits_for_a_claim_left_as_its_grant_arrived",
    ),
    Mutation(
        "a holder that stands still for a moment is asked all the same",
        "libraries/gateway/src/bamboopier_gateway/forwarder.py",
        "self._agents.reach_patiently(result.claimed_by, left)",
        "self._agents.reach(result.claimed_by, left)",
        "libraries/gateway",
        "tests.test_recall.RecallTests.test_the_holder_stands_still_for_a_moment",
    ),
    Mutation(
        "a claim without an outcome is not told as lost",
        "libraries/agent/src/bamboopier_agent/service.py",
        "        if self._claims.is_open(request.claim_id):\n"
        "            return pb.RecallReply(state=pb.RecallReply.RUNNING)\n",
        "",
        "libraries/agent",
        "tests.test_service.ServeTests.test_a_claim_whose_answer_is_under_way_is_no_lost_one",
    ),
    Mutation(
        "a granted claim is noted as a run before anything is awaited",
        "libraries/agent/src/bamboopier_agent/service.py",
        "        kept = self._kept.begin(key, request.fingerprint)\n",
        "        await asyncio.sleep(0)\n"
        "        kept = self._kept.begin(key, request.fingerprint)\n",
        "libraries/agent",
        "tests.test_service.RecallTests.test_the_holder_knows_its_claim_at_every_step",
    ),
    Mutation(
        "a thawed process does not run after the deadline",
        "libraries/agent/src/bamboopier_agent/service.py",
        "        if time.monotonic() >= stream.deadline:",
        "        if False:",
        "libraries/agent",
        "tests.test_service.ServeTests.test_a_process_thawed_after_the_deadline_does_not_run",
    ),
    Mutation(
        "a hung target does not hold its place for ever",
        "libraries/agent/src/bamboopier_agent/service.py",
        "asyncio.timeout_at(stream.deadline + OVERTIME_SECONDS)",
        "asyncio.timeout(None)",
        "libraries/agent",
        "tests.test_service.ServeTests.test_a_hung_target_does_not_hold_its_place_for_ever",
    ),
    Mutation(
        "answers kept while they run are bounded",
        "libraries/agent/src/bamboopier_agent/kept_answers.py",
        "        if self._used > self._capacity:\n"
        "            self._used -= len(answer.body)",
        "        if False:\n            self._used -= len(answer.body)",
        "libraries/agent",
        "tests.test_kept_answers.KeptAnswersTests.test_running_answers_share_the_memory",
    ),
    Mutation(
        "only an answered claim write grants",
        "libraries/agent/src/bamboopier_agent/claim_writer.py",
        "                    self._partition.mark_uncertain(plan)\n"
        "                    last = error\n",
        "                    self._partition.mark_uncertain(plan)\n"
        "                    self._tell_outcomes(waiting, plan.outcomes)\n"
        "                    return Ok(None)\n",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_at_most_one_is_granted_and_no_key_is_lost",
    ),
    Mutation(
        "a claim write with a lost answer is remembered",
        "libraries/agent/src/bamboopier_agent/claim_writer.py",
        "                    self._partition.mark_uncertain(plan)\n",
        "                    self._partition.reject()\n",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_at_most_one_is_granted_and_no_key_is_lost",
    ),
    Mutation(
        "a slow platform is refused in time",
        "libraries/agent/src/bamboopier_agent/claims.py",
        "            async with asyncio.timeout(CLAIM_SECONDS):",
        "            async with asyncio.timeout(None):",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_a_slow_platform_is_refused_and_the_claim_released",
    ),
    Mutation(
        "an outage leaves no claims to release",
        "libraries/decisions/src/bamboopier_decisions/claims/partition.py",
        "        if granted_at or written or claim_id in self._list_standing():\n"
        "            self._abandoned",
        "        if True:\n            self._abandoned",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_an_outage_leaves_no_work_behind",
    ),
    Mutation(
        "each wish to run a key has an id of its own",
        "libraries/agent/src/bamboopier_agent/claims.py",
        "uuid.uuid4().hex, self._holder",
        "self._holder, self._holder",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests.test_the_same_attempt_twice_is_granted_once",
    ),
    Mutation(
        "events of another attempt or out of order end it",
        "libraries/gateway/src/bamboopier_gateway/attempt.py",
        "        if (event.attempt_id, event.sequence) != expected:\n"
        "            return False\n",
        "",
        "libraries/gateway",
        "tests.test_attempt",
    ),
    Mutation(
        "not-run after the head is not believed",
        "libraries/gateway/src/bamboopier_gateway/attempt.py",
        '        if kind in ("head", "not_run"):\n'
        "            return not self._begun\n"
        '        return kind == "unknown" or (kind is not None and self._begun)\n',
        "        return True\n",
        "libraries/gateway",
        "tests.test_attempt.AttemptTests.test_every_stream",
    ),
    Mutation(
        "the end of an answer proves its length",
        "libraries/gateway/src/bamboopier_gateway/attempt.py",
        "        if finished.body_bytes != self._body_bytes:\n"
        '            self._break("the answer is not whole")\n'
        "            return True\n",
        "",
        "libraries/gateway",
        "tests.test_attempt.AttemptTests.test_every_stream",
    ),
    Mutation(
        "a silent agent holds nobody past the deadline",
        "libraries/gateway/src/bamboopier_gateway/attempt.py",
        "asyncio.timeout_at(clock.time() + left) as limit",
        "asyncio.timeout(None) as limit",
        "libraries/gateway",
        "tests.test_attempt.AttemptTests.test_a_silent_agent_holds_nobody_past_the_deadline",
    ),
    Mutation(
        "a broken answer is cut",
        "libraries/gateway/src/bamboopier_gateway/delivery.py",
        "            self._request.transport.abort()\n        return response",
        "            await response.write_eof()\n        return response",
        "libraries/gateway",
        "tests.test_delivery",
    ),
    Mutation(
        "the gateway sends only on a connection that stands",
        "libraries/gateway/src/bamboopier_gateway/agents.py",
        "                if await _is_ready(channel):\n",
        "                if channel.get_state(try_to_connect=True):\n",
        "libraries/gateway",
        "tests.test_agents.AgentsTests.test_an_agent_that_stands_still_is_sent_nothing",
    ),
    Mutation(
        "an order is written only where its agent has just answered",
        "libraries/gateway/src/bamboopier_gateway/forwarder.py",
        "agents.reach if call.idempotent else agents.reach_answering",
        "agents.reach",
        "libraries/gateway",
        "tests.test_forwarder",
    ),
    Mutation(
        "an order is kept back when the agent does not answer",
        "libraries/gateway/src/bamboopier_gateway/agents.py",
        "            if not await _is_answered(stub, end - time.monotonic()):\n"
        "                return None\n",
        "            await _is_answered(stub, end - time.monotonic())\n",
        "libraries/gateway",
        "tests.test_forwarder",
    ),
    Mutation(
        "an order goes out on the channel that replaced the one that was asked",
        "libraries/gateway/src/bamboopier_gateway/agents.py",
        "            if channel is not None and "
        "self._channels.get(address) is channel:\n",
        "            if True:\n",
        "libraries/gateway",
        "tests.test_forwarder",
    ),
    Mutation(
        "a question cancelled with its channel is not taken for a caller who left",
        "libraries/gateway/src/bamboopier_gateway/agents.py",
        "        return await asked.code() is grpc.StatusCode.OK\n",
        "        return bool(await asked)\n",
        "libraries/gateway",
        "tests.test_agents",
    ),
    Mutation(
        "a request that no connection had is told as not run",
        "libraries/gateway/src/bamboopier_gateway/attempt.py",
        "        if refused or self._was_never_sent(error):\n",
        "        if refused:\n",
        "libraries/gateway",
        "tests.test_lost_connections",
    ),
    Mutation(
        "a request that a connection had is not told as not run",
        "libraries/gateway/src/bamboopier_gateway/attempt.py",
        '            and (error.details() or "").startswith(_NO_CONNECTION)\n',
        "",
        "libraries/gateway",
        "tests.test_lost_connections",
    ),
    Mutation(
        "an error of the agent's own is not taken for one of the connection",
        "libraries/gateway/src/bamboopier_gateway/attempt.py",
        "            error.code() is grpc.StatusCode.UNAVAILABLE\n"
        "            and self._expected_sequence == 0\n",
        "            self._expected_sequence == 0\n",
        "libraries/gateway",
        "tests.test_attempt.AttemptTests.test_every_stream",
    ),
    Mutation(
        "a request that was answered in part is not told as not run",
        "libraries/gateway/src/bamboopier_gateway/attempt.py",
        "            and self._expected_sequence == 0\n",
        "",
        "libraries/gateway",
        "tests.test_attempt.AttemptTests.test_every_stream",
    ),
    Mutation(
        "a request that broke two targets is not sent to a third",
        "libraries/decisions/src/bamboopier_decisions/routing/router.py",
        "        if pending.broken >= MAX_BROKEN:\n",
        "        if False:\n",
        ".",
        "tests.test_quarantine",
    ),
    Mutation(
        "a quarantined request is refused",
        "libraries/gateway/src/bamboopier_gateway/forwarder.py",
        "        if wait > 0:\n"
        "            raise _make_quarantine_refusal(call, wait)\n",
        "",
        ".",
        "tests.test_quarantine",
    ),
    Mutation(
        "other gateways are told of a quarantine",
        "libraries/gateway/src/bamboopier_gateway/shared_quarantine.py",
        "            if found and await self._add(found):\n",
        "            if False:\n",
        ".",
        "tests.test_quarantine",
    ),
    Mutation(
        "requests that broke with another are not quarantined",
        "libraries/decisions/src/bamboopier_decisions/quarantine/quarantine.py",
        "        return set.intersection(*sharing) == {fingerprint}\n",
        "        return bool(sharing)\n",
        "libraries/decisions",
        "tests.test_quarantine",
    ),
    Mutation(
        "an outage quarantines nobody",
        "libraries/decisions/src/bamboopier_decisions/quarantine/quarantine.py",
        "        if self._is_outage(now):\n",
        "        if False:\n",
        "libraries/decisions",
        "tests.test_quarantine",
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
        "                    self._partition.reject()\n"
        "                    last = error\n"
        "                case Err(PlatformOutcomeUnknownError() as error):\n",
        "libraries/agent",
        "tests.test_claims.ClaimTableTests."
        "test_a_claim_left_while_its_write_is_resent_is_released",
    ),
    Mutation(
        "the platform client never sends a change again by itself",
        "libraries/objects/src/bamboopier_objects/http_caller.py",
        "timeout=timeout, connector=connector, middlewares=(_send_once,)",
        "timeout=timeout, connector=connector",
        "libraries/objects",
        "tests.test_http_platform",
    ),
)
