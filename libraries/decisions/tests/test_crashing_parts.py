"""One part of prompts crashes each target that begins a response on it."""

from __future__ import annotations

import unittest

from bamboopier_decisions.quarantine.crashing_parts import (
    MAX_SUSPECTS,
    MIN_TARGETS_COMPLETED,
    MIN_TARGETS_TIED,
    TRIAL_RESULT_SECONDS,
    CrashingParts,
    RefusedPart,
)
from bamboopier_decisions.quarantine.part_crashes import MIN_TARGETS, PartCrash
from bamboopier_decisions.quarantine.part_trials import (
    MAX_WITHOUT_RESULT,
    TRIAL_SECONDS,
)
from bamboopier_decisions.quarantine.quarantine import (
    QUARANTINE_SECONDS,
    Crash,
    Quarantine,
)

BAD, OTHER_BAD, FIRST, SESSION = b"bad", b"other-bad", b"first", b"session"
PARTS = (BAD, OTHER_BAD, FIRST, SESSION)
RUN_SECONDS = 0.05

End = tuple[str, list[tuple[bytes, list[bytes]]]]


def make_end(target: str, *requests: tuple[bytes, list[bytes]]) -> End:
    """Return the end of a target with these requests and their parts."""
    return target, list(requests)


def make_bad_ends(count: int, *parts: bytes) -> list[End]:
    """Return ends of targets, each with a new request with these parts."""
    return [make_end(f"t{n}", (b"r%d" % n, list(parts))) for n in range(count)]


# Name, ends of targets a second apart, parts that are refused then.
CASES: tuple[tuple[str, list[End], set[bytes]], ...] = (
    ("too few ends", make_bad_ends(MIN_TARGETS - 1, BAD), set()),
    ("one more", make_bad_ends(MIN_TARGETS, BAD), {BAD}),
    (
        "parts that always come together",
        make_bad_ends(MIN_TARGETS_TIED - 1, BAD, OTHER_BAD),
        set(),
    ),
    (
        "and once more",
        make_bad_ends(MIN_TARGETS_TIED, BAD, OTHER_BAD),
        {BAD, OTHER_BAD},
    ),
    (
        "a session at few of the ends",
        [
            make_end(f"t{n}", (b"r%d" % n, [SESSION if n % 5 == 0 else b"p%d" % n]))
            for n in range(30)
        ],
        set(),
    ),
    (
        "two bad parts in turn",
        [
            make_end(f"t{n}", (b"r%d" % n, [BAD if n % 2 else OTHER_BAD]))
            for n in range(2 * MIN_TARGETS)
        ],
        {BAD, OTHER_BAD},
    ),
    (
        "one request at all targets",
        [make_end(target, (b"r", [SESSION])) for target in "abcd"],
        set(),
    ),
    (
        "one request at all targets, beside others of its session",
        [
            make_end("a", (b"r", [SESSION])),
            make_end("b", (b"r", [SESSION]), (b"s", [SESSION])),
            make_end("c", (b"r", [SESSION]), (b"u", [SESSION])),
            make_end("d", (b"r", [SESSION]), (b"v", [SESSION])),
        ],
        set(),
    ),
    (
        "a session whose request follows the bad ones",
        [make_end(f"t{n}", (b"r%d" % n, [BAD]), (b"s", [SESSION])) for n in range(4)],
        {BAD},
    ),
    (
        "a session with fewer ends than the bad part",
        [
            make_end("a", (b"r1", [BAD])),
            *(
                make_end(f"t{n}", (b"r%d" % n, [BAD]), (b"s%d" % n, [SESSION]))
                for n in range(MIN_TARGETS)
            ),
        ],
        {BAD},
    ),
)


class CrashingPartsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.parts = CrashingParts()
        self.now = 1000.0

    def end_targets(
        self, ends: list[End], interval: float = 1.0, parts: CrashingParts | None = None
    ) -> None:
        """Let targets end one after the other."""
        for target, requests in ends:
            crashes = [
                PartCrash(part, request, target, self.now - RUN_SECONDS, self.now)
                for request, with_parts in requests
                for part in with_parts
            ]
            (parts or self.parts).record_crashes(self.now, crashes)
            self.now += interval

    def complete(self, *parts: bytes) -> list[bytes]:
        """Complete a request with these parts now."""
        return self.parts.record_completed(self.now, parts, self.now)

    def list_refused(self, parts: CrashingParts | None = None) -> set[bytes]:
        """Return which parts are refused now."""
        refused = (parts or self.parts).find_refused(self.now, PARTS)
        return {entry.part for entry in refused}

    def test_which_parts_are_refused(self) -> None:
        for name, ends, expected in CASES:
            with self.subTest(name):
                self.setUp()
                self.end_targets(ends)
                self.assertEqual(self.list_refused(), expected)

    def test_targets_that_end_together_make_no_part_a_culprit(self) -> None:
        # Guards against parts that are refused since a data centre was lost.
        self.end_targets(make_bad_ends(12, BAD), 0.005)
        self.assertEqual(self.list_refused(), set())

    def test_requests_that_were_sent_before_the_first_end_are_no_repeats(self) -> None:
        # Guards against a session that is refused since the requests it had at several
        # targets failed when these ended within some seconds.
        sent_at = self.now
        for number in range(MIN_TARGETS + 1):
            self.now += 1.0
            crash = PartCrash(SESSION, b"r%d" % number, f"t{number}", sent_at, self.now)
            self.parts.record_crashes(self.now, [crash])
        self.assertEqual(self.list_refused(), set())

    def test_a_shared_part_is_not_refused_for_the_one_behind_it(self) -> None:
        # Guards against a first part that is refused with all sound requests: targets
        # end faster than requests complete.
        self.complete(FIRST)
        self.end_targets(make_bad_ends(8, FIRST, BAD), 0.2)
        self.assertEqual(self.list_refused(), {BAD})

    def test_a_shared_part_is_not_refused_for_two_behind_it(self) -> None:
        # Guards against a part that has more ends than each of the two bad ones, and
        # would explain all of them.
        self.complete(FIRST)
        ends = make_bad_ends(8, FIRST, BAD)
        mixed = [
            (target, [(request, [FIRST, BAD if n % 2 else OTHER_BAD])])
            for n, (target, [(request, _)]) in enumerate(ends)
        ]
        self.end_targets(mixed, 0.2)
        self.assertEqual(self.list_refused(), {BAD, OTHER_BAD})

    def test_a_completed_part_has_no_evidence_from_before(self) -> None:
        # Guards against a part that is refused for targets which ended by themselves,
        # and against evidence that comes later than the completion.
        self.end_targets(make_bad_ends(MIN_TARGETS - 1, SESSION))
        self.assertEqual(self.complete(SESSION), [SESSION])
        late = PartCrash(SESSION, b"late", "late", self.now - 2, self.now - 1)
        self.assertEqual(self.parts.record_crashes(self.now, [late]), [])
        self.now += 1.0
        self.end_targets([make_end("x", (b"x", [SESSION]))])
        self.assertEqual(self.list_refused(), set())

    def test_a_completion_lifts_a_refusal(self) -> None:
        # Guards against a part that stays refused though it was shown to be sound.
        self.end_targets(make_bad_ends(MIN_TARGETS, BAD))
        self.assertEqual(self.complete(BAD), [BAD])
        self.assertEqual(self.list_refused(), set())

    def test_a_part_may_become_bad(self) -> None:
        # Guards against a part that ends targets for good, since it was sound before
        # new weights or software.
        self.complete(BAD)
        self.now += 1.0
        self.end_targets(make_bad_ends(MIN_TARGETS_COMPLETED - 1, BAD))
        self.assertEqual(self.list_refused(), set())
        self.end_targets([make_end("x", (b"x", [BAD]))])
        self.assertEqual(self.list_refused(), {BAD})

    def test_a_request_that_follows_a_bad_part_is_no_culprit(self) -> None:
        # Guards against a sound request that is refused for ten minutes, since its
        # retries went to targets that others then ended.
        quarantine = Quarantine(3, 0.1, self.parts.explains)
        for target, requests in make_bad_ends(MIN_TARGETS, BAD):
            self.end_targets([(target, requests)])
            ended_at = self.now - 1.0
            crash = Crash(b"sound", target, ended_at - RUN_SECONDS, ended_at)
            quarantine.record_crash(self.now, crash)
        self.assertEqual(quarantine.find_wait(self.now, b"sound"), 0)

    def test_a_crashing_request_is_not_explained_by_its_own_part(self) -> None:
        # Guards against a request that ends targets for good, since its parts do, too.
        quarantine = Quarantine(3, 0.1, self.parts.explains)
        for target in "abc":
            self.end_targets([make_end(target, (b"r", [SESSION]))])
            ended_at = self.now - 1.0
            crash = Crash(b"r", target, ended_at - RUN_SECONDS, ended_at)
            quarantine.record_crash(self.now, crash)
        self.assertGreater(quarantine.find_wait(self.now, b"r"), 0)

    def test_what_others_refuse_is_refused_unless_it_was_completed_here(self) -> None:
        # Guards against a shared part that one gateway refuses wrongly, and all others
        # after it.
        refused = RefusedPart(FIRST, self.now - 3.0, self.now + 500.0)
        self.complete(FIRST)
        self.assertFalse(self.parts.add_shared(refused))
        self.assertEqual(self.list_refused(), set())
        known = RefusedPart(FIRST, self.now + 1.0, self.now + 500.0, self.now)
        self.assertTrue(self.parts.add_shared(known))
        self.assertFalse(self.parts.add_shared(known))
        self.assertEqual(self.list_refused(), {FIRST})

    def list_trials(self, seconds: float, *, ends_targets: bool) -> list[int]:
        """Return the seconds at which requests try the part, which may end targets."""
        tried_at = []
        start = self.now
        while self.now < start + seconds:
            self.now += 0.25
            if not self.parts.start_trial(self.now, BAD):
                continue
            tried_at.append(int(self.now - start))
            if ends_targets:
                target = f"trial-{len(tried_at)}"
                self.end_targets([make_end(target, (target.encode(), [BAD]))], 0.0)
        return tried_at

    def test_trials_that_end_targets_come_at_growing_intervals(self) -> None:
        # Guards against a bad part that ends a target whenever somebody tries.
        self.end_targets(make_bad_ends(MIN_TARGETS, BAD))
        tried_at = self.list_trials(2 * QUARANTINE_SECONDS, ends_targets=True)
        first, second, third, last = (int(seconds) for seconds in TRIAL_SECONDS)
        expected = [first, first + second, first + second + third]
        expected += [expected[-1] + last, expected[-1] + 2 * last]
        self.assertEqual(tried_at[: len(expected)], expected)

    def test_a_trial_that_ran_nowhere_is_made_again_soon(self) -> None:
        # Guards against a sound part that stays refused for long, since all targets
        # were down when a request tried it; and against trials without end, where the
        # ends of their targets are missed.
        self.end_targets(make_bad_ends(MIN_TARGETS, BAD))
        tried_at = self.list_trials(60.0, ends_targets=False)
        first, second = (int(seconds) for seconds in TRIAL_SECONDS[:2])
        early = [first * (n + 1) for n in range(MAX_WITHOUT_RESULT)]
        self.assertEqual(tried_at[: len(early)], early)
        self.assertEqual(tried_at[len(early)], early[-1] + second)

    def test_what_others_refuse_is_not_tried_early(self) -> None:
        # Guards against one more end for each gateway that starts.
        self.parts.add_shared(RefusedPart(BAD, self.now - 3.0, self.now + 500.0))
        self.assertFalse(self.parts.start_trial(self.now, BAD))
        self.now += TRIAL_SECONDS[1] - 0.1
        self.assertFalse(self.parts.start_trial(self.now, BAD))
        self.now += 0.2
        self.assertTrue(self.parts.start_trial(self.now, BAD))

    def test_callers_may_come_back_after_the_next_trial(self) -> None:
        # Guards against callers of a part that is refused wrongly, who are told to come
        # back in ten minutes though it is served again after a second.
        self.end_targets(make_bad_ends(MIN_TARGETS, BAD))
        (refused,) = self.parts.find_refused(self.now, [BAD])
        self.assertGreater(self.parts.find_wait(self.now, refused), TRIAL_SECONDS[-1])
        self.parts.start_trial(self.now, BAD)
        wait = self.parts.find_wait(self.now, refused)
        self.assertEqual(wait, TRIAL_SECONDS[0] + TRIAL_RESULT_SECONDS)

    def test_a_refusal_ends(self) -> None:
        # Guards against a part that is refused for good since it crashed targets once.
        self.end_targets(make_bad_ends(MIN_TARGETS, BAD))
        self.now += QUARANTINE_SECONDS
        self.assertEqual(self.list_refused(), set())

    def test_suspects_are_bounded(self) -> None:
        # Guards against memory that grows with the prompts that targets ended with.
        for number in range(MAX_SUSPECTS + 10):
            crash = PartCrash(b"%d" % number, b"r", "t", self.now - 1, self.now)
            self.parts.record_crashes(self.now, [crash])
        self.assertEqual(len(self.parts._suspects), MAX_SUSPECTS)


if __name__ == "__main__":
    unittest.main()
