"""Safeguards of late configurations and of what is refused meanwhile."""

from __future__ import annotations

from mutations import Mutation

OBJECTS = "libraries/objects/src/bamboopier_objects"

MUTATIONS = (
    Mutation(
        "a timeout replaces the connections to its host",
        f"{OBJECTS}/connection_pools.py",
        "            if self._pools.get(host) is pool:\n",
        "            if False:\n",
        "libraries/objects",
        "tests.test_http_client.SilentConnectionTests.test_only_one_call_times_out_when_connections_go_silent",
    ),
    Mutation(
        "a timeout does not end other calls in flight",
        f"{OBJECTS}/connection_pools.py",
        "                self._retired.add(pool)\n",
        "                await pool.session.close()\n",
        "libraries/objects",
        "tests.test_http_client.SilentConnectionTests.test_a_timeout_does_not_end_the_calls_in_flight",
    ),
    Mutation(
        "nothing is denied that may have been added meanwhile",
        "libraries/decisions/src/bamboopier_decisions/forwarding/"
        "configuration_freshness.py",
        "        return self.find_age(now) <= self._max_denial_age\n",
        "        return True\n",
        "libraries/decisions",
        "tests.forwarding.test_bounds.DenialTests.test_what_may_have_been_added_meanwhile_is_not_denied",
    ),
    Mutation(
        "a gateway denies only while its generation is current",
        "libraries/gateway/src/bamboopier_gateway/application.py",
        "        if error.code not in DENIALS or self._follower.is_current:\n",
        "        if True:\n",
        "libraries/gateway",
        "tests.test_application.ApplicationTests.test_nothing_is_denied_as_an_outdated_configuration_says",
    ),
    Mutation(
        "an announced generation makes the one in force outdated",
        f"{OBJECTS}/follower.py",
        "        return not self.is_behind and age <= IN_FORCE_SECONDS\n",
        "        return age <= IN_FORCE_SECONDS\n",
        "libraries/objects",
        "tests.test_follower.FollowerTests.test_a_generation_is_current_for_a_limited_time",
    ),
)
