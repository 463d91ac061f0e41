"""When a target that asked for rest gets requests again, and how many at first."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.rest_period import (
    MAX_REST_SECONDS,
    RAMP_RESPONSES,
    RestPeriod,
)


class RestPeriodTests(unittest.TestCase):
    def setUp(self) -> None:
        self.rest = RestPeriod()

    def test_a_target_that_never_asked_gets_all_requests(self) -> None:
        for _ in range(100):
            self.assertTrue(self.rest.allows_request(1.0))
            self.assertFalse(self.rest.record_sent())

    def test_no_request_is_allowed_during_a_rest(self) -> None:
        self.assertTrue(self.rest.record_rest(10.0, 3.0))
        self.assertFalse(self.rest.allows_request(10.0))
        self.assertFalse(self.rest.allows_request(12.99))
        self.assertTrue(self.rest.allows_request(13.0))

    def test_a_shorter_rest_does_not_end_a_longer_one(self) -> None:
        # Guards against requests to a target that asked for three seconds, after a
        # response to an earlier request asked for one.
        self.rest.record_rest(10.0, 3.0)
        self.assertFalse(self.rest.record_rest(10.1, 1.0))
        self.assertFalse(self.rest.allows_request(12.0))

    def test_values_that_ask_for_nothing_change_nothing(self) -> None:
        for seconds in (0.0, -3.0):
            self.assertFalse(self.rest.record_rest(10.0, seconds))
            self.assertTrue(self.rest.allows_request(10.0))

    def test_an_endless_rest_ends(self) -> None:
        # Guards against a target that is never used again.
        self.rest.record_rest(10.0, 1e18)
        self.assertTrue(self.rest.allows_request(10.0 + MAX_REST_SECONDS))

    def test_requests_after_a_rest_increase_with_the_responses(self) -> None:
        # Guards against a target that gets all waiting requests when its rest ends, and
        # is overloaded again.
        self.rest.record_rest(10.0, 3.0)
        admitted = []
        for _ in range(4):
            count = 0
            while count < 100 and self.rest.allows_request(13.0):
                self.rest.record_sent()
                count += 1
            admitted.append(count)
            for _ in range(count):
                self.rest.record_response()
                self.rest.record_end()
        self.assertEqual(admitted, [1, 2, 4, 8])

    def test_all_requests_are_allowed_after_enough_responses(self) -> None:
        self.rest.record_rest(10.0, 3.0)
        for _ in range(RAMP_RESPONSES):
            self.rest.record_response()
        self.assertFalse(self.rest.record_sent())
        self.assertTrue(self.rest.allows_request(13.0))

    def test_a_request_that_ends_without_a_response_makes_room(self) -> None:
        # Guards against a target that is never used again, since the caller of the
        # first request after its rest disconnected.
        self.rest.record_rest(10.0, 3.0)
        self.assertTrue(self.rest.record_sent())
        self.assertFalse(self.rest.allows_request(13.0))
        self.rest.record_end()
        self.assertTrue(self.rest.allows_request(13.0))


if __name__ == "__main__":
    unittest.main()
