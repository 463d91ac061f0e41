"""Tests that a replay reports exactly what callers receive."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from aiohttp import web
from aiohttp.test_utils import TestServer

from bamboopier_replay.expectations import Expectation, check_expectations
from bamboopier_replay.observation import Outcome
from bamboopier_replay.player import Player, PlayerOptions
from bamboopier_replay.prompts import make_prompt
from bamboopier_replay.report import summarize
from bamboopier_replay.synthetic_traces import (
    make_dispatch_trace,
    make_fault_desk_trace,
)
from bamboopier_replay.trace import PromptPart, Trace, read_trace, write_trace

USAGE = {"prompt_tokens": 100, "prompt_tokens_details": {"cached_tokens": 60}}


class GatewayFake:
    """Sends a fixed kind of response for each path."""

    def __init__(self) -> None:
        self.calls = 0

    async def respond(self, request: web.Request) -> web.StreamResponse:
        self.calls += 1
        await request.read()
        kind = request.match_info["kind"]
        if kind == "refuse":
            body = {"error": {"code": "overloaded", "ran": "no"}}
            return web.json_response(body, status=503, headers={"Retry-After": "2"})
        if kind == "unknown":
            body = {"error": {"code": "outcome_unknown", "ran": "unknown"}}
            return web.json_response(body, status=502)
        if kind == "cut":
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(b"half")
            assert request.transport is not None
            request.transport.abort()
            return response
        if kind == "count":
            return web.json_response({"call": self.calls})
        return web.json_response({"usage": USAGE})


class ReplayTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        fake = GatewayFake()
        application = web.Application()
        application.router.add_route("*", "/services/{kind}/x", fake.respond)
        self.server = TestServer(application)
        await self.server.start_server()
        self.addAsyncCleanup(self.server.close)

    async def play(self, kinds: list[str], key: str = "") -> Player:
        base = make_dispatch_trace(1, len(kinds), 1)
        requests = []
        for kind, request in zip(kinds, base.requests, strict=True):
            line = json.loads(json.dumps({"at": 0, "workspace": "w", "tag": kind}))
            line["plain"] = {"method": "POST", "path": f"/services/{kind}/x"}
            line["idempotency_key"] = key
            self.assertIsNotNone(request.plain)
            requests.append(line)
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = folder / "trace.jsonl"
        lines = [{"bamboopier_trace": 1}, *requests]
        path.write_text("\n".join(json.dumps(line) for line in lines))
        trace = read_trace(path).unwrap()
        url = f"http://127.0.0.1:{self.server.port}"
        player = Player([url], {"w": "key"}, PlayerOptions(max_seconds=20))
        await player.play(trace)
        return player

    async def test_each_outcome_is_classified(self) -> None:
        player = await self.play(["ok", "refuse", "unknown", "cut"])
        found = {o.tag: o.outcome for o in player.observations}
        expected = {
            "ok": Outcome.ANSWERED,
            "refuse": Outcome.REFUSED,
            "unknown": Outcome.UNKNOWN,
            "cut": Outcome.CUT,
        }
        self.assertEqual(found, expected)

    async def test_recomputed_share_and_retry_after_come_from_the_responses(
        self,
    ) -> None:
        player = await self.play(["ok", "ok", "refuse"])
        total = summarize(player.observations)[0]
        self.assertAlmostEqual(total.recomputed_share, 0.4)
        self.assertEqual(total.hinted_share, 1.0)

    async def test_two_responses_under_one_key_are_counted(self) -> None:
        player = await self.play(["count", "count"], key="one-key")
        self.assertEqual(summarize(player.observations)[0].keys_with_two_answers, 1)

    async def test_an_expectation_without_requests_does_not_hold(self) -> None:
        player = await self.play(["ok"])
        summaries = summarize(player.observations)
        expectations = [
            Expectation("answered_share", "ok", at_least=1.0),
            Expectation("answered_share", "never-sent", at_least=0.0),
            Expectation("recomputed_share", at_most=0.3),
        ]
        results = [
            verdict.holds for verdict in check_expectations(expectations, summaries)
        ]
        self.assertEqual(results, [True, False, False])


class TraceTests(unittest.TestCase):
    def test_a_trace_survives_being_written_and_read(self) -> None:
        trace = make_fault_desk_trace(3, pillars=4, turns=3)
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        write_trace(folder / "t", trace)
        self.assertEqual(read_trace(folder / "t").unwrap(), trace)

    def test_a_wrong_line_is_named(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = folder / "t"
        path.write_text('{"bamboopier_trace": 1}\n{"at": 0, "workspce": "w"}\n')
        message = str(read_trace(path).unwrap_err())
        self.assertIn("line 2", message)
        self.assertIn("workspce", message)

    def test_returning_prompts_share_their_prefix(self) -> None:
        trace: Trace = make_fault_desk_trace(3, pillars=1, turns=2)
        first, second = (r.model for r in trace.requests)
        assert first is not None and second is not None
        text = make_prompt(first.prompt)
        self.assertTrue(make_prompt(second.prompt).startswith(text + " "))
        self.assertEqual(make_prompt([PromptPart(seed="a", words=2)]), "a-0 a-1")
