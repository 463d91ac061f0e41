"""Safeguards against targets that send what is no answer, without end."""

from __future__ import annotations

from mutations import Mutation

_LIMITS = "libraries/proxy/src/bamboopier_proxy/response_limits.py"
_TESTS = "tests.test_endless_responses."

MUTATIONS = (
    Mutation(
        "a head has a limit",
        _LIMITS,
        "        if head_bytes > MAX_HEAD_BYTES:\n",
        "        if head_bytes < 0:\n",
        "libraries/proxy",
        _TESTS + "EndlessResponseTests.test_a_head_without_end_closes_the_connection",
    ),
    Mutation(
        "framing has a limit",
        _LIMITS,
        "        if self.in_body and self._framing_bytes > allowed:\n",
        "        if self._framing_bytes < 0:\n",
        "libraries/proxy",
        _TESTS + "EndlessResponseTests.test_framing_without_end_closes_the_connection",
    ),
    Mutation(
        "an event has a limit",
        "libraries/proxy/src/bamboopier_proxy/event_splitter.py",
        "            if len(data) > MAX_EVENT_BYTES:\n",
        "            if len(data) < 0:\n",
        "libraries/proxy",
        _TESTS + "EndlessEventTests.test_an_event_without_end_is_refused",
    ),
)
