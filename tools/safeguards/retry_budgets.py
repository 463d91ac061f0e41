"""Safeguards of the retry budget that all gateways share."""

from __future__ import annotations

from mutations import Mutation

FORWARDING = "libraries/decisions/src/bamboopier_decisions/forwarding"
BUDGET = f"{FORWARDING}/shared_retry_budget.py"
CALL_RETRIES = "libraries/proxy/src/bamboopier_proxy/call_retries.py"
BUDGET_TESTS = "tests.forwarding.test_shared_retry_budget.SharedRetryBudgetTests"
CALL_TESTS = "tests.test_call_retries.CallRetriesTests"

MUTATIONS = (
    Mutation(
        "a gateway that starts has saved no retries",
        BUDGET,
        "        self._available = 0.0\n",
        '        self._available = float("inf")\n',
        "libraries/decisions",
        f"{BUDGET_TESTS}.test_gateways_that_start_bring_no_part_of_the_slack",
    ),
    Mutation(
        "a gateway saves only a part of what its requests earn",
        BUDGET,
        "SAVED_PART = 1.0 - EARNED_PART\n",
        "SAVED_PART = 1.0\n",
        "libraries/decisions",
        f"{BUDGET_TESTS}.test_callers_that_move_bring_no_second_budget",
    ),
    Mutation(
        "a retry is paid when it is sent",
        BUDGET,
        "        self._available -= 1.0\n        return True\n\n    def release",
        "        return True\n\n    def release",
        "libraries/decisions",
        f"{BUDGET_TESTS}.test_gateways_that_stay_retry_within_the_budget",
    ),
    Mutation(
        "gateways that are cut off count those that they knew",
        f"{FORWARDING}/gateway_share.py",
        "KEEP_COUNT_SECONDS = 600.0",
        "KEEP_COUNT_SECONDS = 0.0",
        "libraries/decisions",
        f"{BUDGET_TESTS}.test_gateways_that_are_cut_off_do_not_each_use_the_whole_slack",
    ),
    Mutation(
        "a retry that is not sent is given back",
        CALL_RETRIES,
        "            self._budget.release()\n",
        "",
        "libraries/proxy",
        f"{CALL_TESTS}.test_a_retry_that_is_not_sent_is_given_back",
    ),
    Mutation(
        "a reserved retry is checked again right before it is sent",
        CALL_RETRIES,
        "        allowed = self._budget.spend(read_clock())\n",
        "        allowed = self._budget.spend(read_clock()) or True\n",
        "libraries/proxy",
        f"{CALL_TESTS}.test_a_reserved_retry_is_denied_when_its_budget_has_gone",
    ),
)
