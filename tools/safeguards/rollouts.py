"""Safeguards of roll-outs: the share of a version on trial, and its judge."""

from __future__ import annotations

from mutations import Mutation

_ROLLOUTS = "libraries/decisions/src/bamboopier_decisions/rollouts/"

MUTATIONS = (
    Mutation(
        "a version on trial gets its share of the requests only",
        _ROLLOUTS + "traffic.py",
        "        if is_known and not is_retry and random.random() < share_of_route:\n",
        "        if is_known and not is_retry:\n",
        "libraries/decisions",
        "tests.rollouts.test_traffic.TrafficTests"
        ".test_a_version_on_trial_gets_its_share",
    ),
    Mutation(
        "a gateway that is cut off sends nothing to a version on trial",
        _ROLLOUTS + "traffic.py",
        "        if is_known and not is_retry and random.random() < share_of_route:\n",
        "        if not is_retry and random.random() < share_of_route:\n",
        "libraries/decisions",
        "tests.rollouts.test_traffic.TrafficTests"
        ".test_a_gateway_that_is_cut_off_sends_nothing_to_a_version_on_trial",
    ),
    Mutation(
        "a version whose order may be on its way waits",
        _ROLLOUTS + "traffic.py",
        "        known_until = self.find_known_until()\n        return frozenset",
        "        known_until = math.inf\n        return frozenset",
        "libraries/decisions",
        "tests.rollouts.test_traffic.TrafficTests"
        ".test_a_version_whose_order_may_be_on_its_way_waits",
    ),
    Mutation(
        "failed answers count against a version",
        _ROLLOUTS + "judge.py",
        "            counts.failed,\n            counts.answers - counts.failed,\n",
        "            0,\n            counts.answers - counts.failed,\n",
        "libraries/decisions",
        "tests.rollouts.test_replay.BadVersionTests"
        ".test_answers_fail_after_a_third_of_the_time",
    ),
    Mutation(
        "the groups of targets that show most are left out",
        _ROLLOUTS + "judge.py",
        "    return sum(sorted(values)[: len(values) - left_out]) / THRESHOLD\n",
        "    return sum(values) / THRESHOLD\n",
        "libraries/decisions",
        "tests.rollouts.test_replay.GoodVersionTests.test_one_of_its_targets_fails",
    ),
    Mutation(
        "a version is compared with the others at the same time",
        _ROLLOUTS + "judge.py",
        "            others.find_failed_rate(),\n",
        "            0.01,\n",
        "libraries/decisions",
        "tests.rollouts.test_replay.GoodVersionTests.test_a_fault_hits_both_versions",
    ),
    Mutation(
        "a version is judged by groups of its targets and not by one sum",
        _ROLLOUTS + "judge.py",
        "            sums.setdefault(group, _Sums()).add(bad, good, rate)\n",
        "            sums.setdefault(0, _Sums()).add(bad, good, rate)\n",
        "libraries/decisions",
        "tests.rollouts.test_replay.GoodVersionTests.test_one_of_its_targets_fails",
    ),
    Mutation(
        "a trial spends its part of the allowance only",
        _ROLLOUTS + "schedule.py",
        "    share = PLANNED_PART * TRIAL_PART * part * seconds",
        "    share = part * seconds",
        "libraries/decisions",
        "tests.rollouts.test_replay.BadVersionTests"
        ".test_answers_fail_after_four_fifths_of_the_time",
    ),
    Mutation(
        "what fails at every target counts against no version",
        "libraries/proxy/src/bamboopier_proxy/rollouts/answer_log.py",
        "        if len(call.failed_answers) == 1:\n",
        "        if call.failed_answers:\n",
        "libraries/proxy",
        "tests.rollouts.test_answer_log.AnswerLogTests"
        ".test_what_fails_at_every_target_counts_against_no_version",
    ),
    Mutation(
        "completion awaits the requests at former versions",
        _ROLLOUTS + "schedule.py",
        "    if not is_last_moment and not (is_proved and progress.is_drained):\n",
        "    if not is_last_moment and not is_proved:\n",
        "libraries/decisions",
        "tests.rollouts.test_schedule.ScheduleTests"
        ".test_completion_awaits_the_requests_at_former_versions",
    ),
    Mutation(
        "a status is written only if the roll-out has not changed",
        "platform/src/bamboopier_site/store.py",
        '"name": _split_key(key)[1], "revision": expected_version}\n',
        '"name": _split_key(key)[1]}\n',
        "platform",
        "tests.test_store_status",
    ),
    Mutation(
        "a version taken back while connecting gets no request",
        "libraries/proxy/src/bamboopier_proxy/forwarder.py",
        "        is_open = is_open and not self._planner.is_closed(in_flight.state)\n",
        "",
        "libraries/proxy",
        "tests.rollouts.test_traffic.SendTests"
        ".test_a_version_taken_back_while_connecting_gets_no_request",
    ),
)
