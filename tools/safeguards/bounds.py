"""Safeguards of slow links and of the rate limits that targets report."""

from __future__ import annotations

from mutations import Mutation

_HTTP_CLIENT = "libraries/objects/src/bamboopier_objects/http_client.py"
_RATE = "libraries/decisions/src/bamboopier_decisions/forwarding/rate_limit.py"
_POSITION = "libraries/decisions/src/bamboopier_decisions/forwarding/watch_position.py"
_RATE_TEST = "tests.forwarding.test_rate_limit"
_POSITION_TEST = "tests.forwarding.test_watch_position.WatchPositionTests"

MUTATIONS = (
    Mutation(
        "a call continues while its response arrives",
        _HTTP_CLIENT,
        "                    limit.reschedule(read_time() + stall)\n"
        "                received",
        "                received",
        "libraries/objects",
        "tests.test_http_client",
    ),
    Mutation(
        "a call whose response stops arriving is abandoned",
        _HTTP_CLIENT,
        "stall = min(STALL_SECONDS, first_byte_timeout)",
        "stall = total_timeout = MAX_RESPONSE_SECONDS",
        "libraries/objects",
        "tests.test_http_client",
    ),
    Mutation(
        "a response confirms nothing of the second before it",
        _POSITION,
        "        return made - OMISSION_SECONDS\n",
        "        return made\n",
        "libraries/decisions",
        f"{_POSITION_TEST}.test_a_response_confirms_nothing_of_the_second_before_it",
    ),
    Mutation(
        "a watch starts from a revision only once it is old enough",
        _POSITION,
        "made - self._unsettled[0][0] >= OMISSION_SECONDS",
        "self._unsettled",
        "libraries/decisions",
        f"{_POSITION_TEST}.test_a_change_omitted_from_a_response_is_watched_for_again",
    ),
    Mutation(
        "copies sent to others leave half of a slow link free",
        "libraries/proxy/src/bamboopier_proxy/configuration_relay.py",
        " or now < self._sending_until",
        "",
        "libraries/proxy",
        "tests.test_configuration_relay",
    ),
    Mutation(
        "a longer list of gateways is read less often",
        "libraries/proxy/src/bamboopier_proxy/gateway_registry.py",
        "max(READ_SECONDS, len(self._peers) / ENTRIES_PER_SECOND)",
        "READ_SECONDS",
        "libraries/proxy",
        "tests.test_gateway_registry",
    ),
    Mutation(
        "a rate limit is divided among the gateways",
        _RATE,
        "return self._rate * self._share",
        "return self._rate",
        "libraries/decisions",
        f"{_RATE_TEST}.SharedLimitTests",
    ),
    Mutation(
        "many gateways share a rate limit by time slots",
        _RATE,
        "is_many = self._gateway_count > self._rate + BUCKET_GATEWAYS",
        "is_many = False",
        "libraries/decisions",
        f"{_RATE_TEST}.SharedLimitTests",
    ),
    Mutation(
        "a response to an older request does not end a rate limit",
        _RATE,
        "return self._reported_at > self._ended_at",
        "return self._ended_at == NEVER < self._reported_at",
        "libraries/decisions",
        f"{_RATE_TEST}.LimitStateTests"
        ".test_a_response_to_an_older_request_does_not_end_it",
    ),
    Mutation(
        "a target that accepts no requests is tried again",
        _RATE,
        "max(MIN_PER_SECOND, self.per_second)",
        "max(1e-9, self.per_second)",
        "libraries/decisions",
        f"{_RATE_TEST}.LimitStateTests",
    ),
    Mutation(
        "only limits from a gateway's own responses are sent to others",
        _RATE,
        "return max(self._own_reported_at, self._own_ended_at)",
        "return max(self._reported_at, self._ended_at)",
        "libraries/decisions",
        f"{_RATE_TEST}.LimitStateTests.test_updates_of_others_are_not_forwarded",
    ),
    Mutation(
        "a rate limit does not apply to another instance of the target",
        "libraries/proxy/src/bamboopier_proxy/limit_hints.py",
        " and state.entry.started_ms == hint.started_ms",
        "",
        "libraries/proxy",
        "tests.test_limit_hints",
    ),
    Mutation(
        "a request's wait at the last remaining target is not bounded",
        "libraries/decisions/src/bamboopier_decisions/routing/wait_bound.py",
        "if is_last or attempt",
        "if attempt",
        "libraries/decisions",
        "tests.test_router.LeavingTargetTests",
    ),
)
