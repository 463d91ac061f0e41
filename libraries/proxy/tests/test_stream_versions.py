"""Which gateways know the software version that began a stream."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import msgspec

from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_decisions.forwarding.specs import RetrySafety, Route, WeightedService
from bamboopier_decisions.forwarding.version_history import (
    STREAM_SECONDS,
    VersionHistory,
)
from bamboopier_decisions.routing.rendezvous import rank
from bamboopier_proxy.agent_ring import AgentRing
from bamboopier_proxy.refusals import CallerError, ErrorCode, ExecutionStatus
from bamboopier_proxy.settings import Endpoint
from bamboopier_proxy.stream_records import StreamRecords
from bamboopier_proxy.stream_versions import NEIGHBOURS, StreamVersions

from .forwarder_builders import (
    SERVICE,
    Clock,
    make_call,
    make_declared,
    make_entry,
    make_route,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bamboopier_proxy.hints import Hint
    from bamboopier_proxy.messages import Call

OLD, NEW = "v1", "v1.1"
GATEWAYS = 8
# Port at which agents receive messages; gateways have another one here.
AGENT_PORT = 7000


def make_agent_host(number: int) -> str:
    """Return the host of an engine and its agent."""
    return f"10.0.8.{number}"


class Gateway:
    """One of several gateways, whose messages arrive at once."""

    def __init__(
        self,
        number: int,
        network: dict[str, Gateway],
        agents: dict[str, StreamRecords],
    ) -> None:
        self.name = f"g-{number}"
        self.sent: list[Hint] = []
        self._network = network
        self._agents = agents
        network[self.name] = self
        self.fleet = Fleet()
        self.history = VersionHistory()
        self.list_age = 0.5
        self.versions = StreamVersions(
            self.fleet,
            self.history,
            lambda: self.list_age,
            self,
            AgentRing(self.fleet, AGENT_PORT),
            random.Random(number),
        )

    @property
    def _others(self) -> list[str]:
        return [name for name in self._network if name != self.name]

    def select_peers(self, key: bytes, count: int) -> list[Endpoint]:
        return [Endpoint(name, 1) for name in rank(key, self._others, count)]

    def sample_peers(self, max_count: int) -> list[Endpoint]:
        return [Endpoint(name, 1) for name in self._others[:max_count]]

    def send(self, hint: Hint, to: Endpoint) -> None:
        self.sent.append(hint)
        if to.port == AGENT_PORT:
            self._send_to_agent(hint, to.host)
            return
        receiver = self._network.get(to.host)
        if receiver is not None:
            receiver.versions.receive(hint, Endpoint(self.name, 1))

    def _send_to_agent(self, hint: Hint, host: str) -> None:
        if host in self._agents:
            self._agents[host].receive(hint, (self.name, 1))

    def list_engine(self, number: int) -> None:
        """List an engine of the service."""
        entry = make_entry()
        host = make_agent_host(number)
        engine = msgspec.structs.replace(entry, name=f"i-{number}", host=host)
        self.fleet.set_services(make_declared().services)
        self.fleet.put(0.0, engine)

    def list_version(self, now: float, version: str) -> None:
        """List a target of a version of the only service."""
        entry = msgspec.structs.replace(
            make_entry(), name=f"i-{version}", software_version=version
        )
        self.fleet.put(now, entry)
        self.history.update(now, self.fleet.list_software_versions())


class StreamVersionTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        for module in ("stream_versions", "stream_records"):
            patch = mock.patch(f"bamboopier_proxy.{module}.read_clock", self.clock.read)
            patch.start()
            self.addCleanup(patch.stop)
        self.network: dict[str, Gateway] = {}
        # By the host of the engine that each runs beside.
        self.agents: dict[str, StreamRecords] = {}
        self.gateways = self.start_gateways()

    def start_gateways(self) -> list[Gateway]:
        """Start gateways that know nothing, in place of those that ran before."""
        self.network.clear()
        return [Gateway(n, self.network, self.agents) for n in range(GATEWAYS)]

    def start_agents(self, count: int) -> None:
        """Start agents that remember streams, and list their engines."""
        for number in range(count):
            self.agents[make_agent_host(number)] = StreamRecords(self.deliver)
        self.list_engines(range(count))

    def list_engines(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            for gateway in self.gateways:
                gateway.list_engine(number)

    def deliver(self, answer: Hint, to: Endpoint) -> None:
        """Pass the answer of an agent to the gateway that asked."""
        self.network[to.host].versions.receive(answer, Endpoint("agent", AGENT_PORT))

    def make_call(self, request_id: str, resumes: str | None = None) -> Call:
        """Return a call of a resumable stream, or one that resumes it."""
        call = make_call(self.clock.now, keyed=True, prompt=True)
        call.request_id = request_id
        call.route = make_resumable_route()
        if resumes is not None:
            call.last_event, call.resumed_request_id = "2", resumes
        return call

    def begin(self, gateway: Gateway, request_id: str, version: str = OLD) -> Call:
        """Let a stream begin at a target of a version."""
        call = self.make_call(request_id)
        entry = msgspec.structs.replace(make_entry(), software_version=version)
        gateway.versions.record_event(call, entry)
        return call

    async def resume(self, gateway: Gateway, resumes: str | None) -> Call:
        """Resume a stream, or the same without naming the request that began it."""
        call = self.make_call("again", resumes or "")
        call.resumed_request_id = resumes
        await gateway.versions.bind(call)
        return call

    async def test_any_gateway_finds_the_version_while_the_first_is_gone(self) -> None:
        # Guards against streams that only a killed gateway knew.
        first = self.gateways[0]
        begun = self.begin(first, "request-1")
        self.assertEqual(begun.software_version, OLD)
        self.assertEqual(len(first.sent), NEIGHBOURS)
        del self.network[first.name]
        for gateway in self.gateways[1:]:
            call = await self.resume(gateway, "request-1")
            self.assertEqual((call.software_version, call.service), (OLD, SERVICE))

    async def test_a_stream_that_was_resumed_keeps_its_first_version(self) -> None:
        # Guards against a second resumption that finds only the gateway before.
        self.begin(self.gateways[0], "request-1")
        again = await self.resume(self.gateways[1], "request-1")
        entry = msgspec.structs.replace(make_entry(), software_version=OLD)
        self.gateways[1].versions.record_event(again, entry)
        for gateway in self.gateways[:2]:
            del self.network[gateway.name]
        call = await self.resume(self.gateways[2], "request-1")
        self.assertEqual(call.software_version, OLD)

    async def test_a_stream_that_nobody_knows_is_refused_as_not_run(self) -> None:
        # Guards against a guess: any of the listed versions could have begun it, or
        # one that is not listed any more.
        for versions in ((OLD,), (OLD, NEW)):
            for resumes in ("never-seen", None):
                with self.subTest(versions=versions, resumes=resumes):
                    gateway = self.gateways[0]
                    for version in versions:
                        gateway.list_version(self.clock.now, version)
                    with self.assertRaises(CallerError) as caught:
                        await self.resume(gateway, resumes)
                    self.assertIs(caught.exception.code, ErrorCode.NO_TARGET)
                    self.assertIs(caught.exception.ran, ExecutionStatus.NOT_EXECUTED)
                    self.assertGreater(caught.exception.retry_after, 0)

    async def test_the_only_version_for_long_needs_no_question(self) -> None:
        # Guards against a delay, and against refusals, where one version serves.
        gateway = self.gateways[0]
        gateway.history.record_list(self.clock.now, float("-inf"))
        gateway.list_version(self.clock.now, OLD)
        self.clock.now += STREAM_SECONDS
        for resumes in ("never-seen", None):
            call = await self.resume(gateway, resumes)
            self.assertEqual(call.software_version, OLD)
        self.assertEqual(gateway.sent, [])
        # Another one, that has just started, learns it from this one.
        for resumes in ("never-seen", None):
            call = await self.resume(self.gateways[1], resumes)
            self.assertEqual(call.software_version, OLD)

    async def test_an_old_list_needs_another_gateway(self) -> None:
        # Guards against a gateway that is cut off from the store, and goes on at the
        # only version that it knows.
        gateway = self.gateways[0]
        gateway.history.record_list(self.clock.now, float("-inf"))
        gateway.list_version(self.clock.now, OLD)
        self.clock.now += STREAM_SECONDS
        gateway.list_age = 20.0
        self.begin(self.gateways[3], "request-1", NEW)
        call = await self.resume(gateway, "request-1")
        self.assertEqual(call.software_version, NEW)

    async def test_a_list_of_seconds_ago_needs_another_gateway(self) -> None:
        # Guards against a gateway that has just been cut off from the store, and takes
        # the only version that it knows for the one that a stream began with.
        gateway = self.gateways[0]
        gateway.history.record_list(self.clock.now, float("-inf"))
        gateway.list_version(self.clock.now, OLD)
        self.clock.now += STREAM_SECONDS
        gateway.list_age = 3.0
        self.begin(self.gateways[3], "request-1", NEW)
        call = await self.resume(gateway, "request-1")
        self.assertEqual(call.software_version, NEW)

    async def test_a_stream_of_a_long_timeout_is_not_guessed(self) -> None:
        # Guards against a stream that lasts longer than others, and goes on at the
        # version that replaced the one that began it.
        gateway = self.gateways[0]
        gateway.history.record_list(self.clock.now, float("-inf"))
        gateway.list_version(self.clock.now, OLD)
        self.clock.now += STREAM_SECONDS
        gateway.fleet.remove(self.clock.now, f"i-{OLD}")
        gateway.list_version(self.clock.now, NEW)
        self.clock.now += 2 * STREAM_SECONDS
        call = self.make_call("again", "request-1")
        call.route = msgspec.structs.replace(call.route, timeout=4 * STREAM_SECONDS)
        with self.assertRaises(CallerError):
            await gateway.versions.bind(call)

    async def test_requests_that_resume_nothing_are_not_bound(self) -> None:
        # Guards against new streams that are refused or bound.
        call = self.make_call("request-1")
        await self.gateways[0].versions.bind(call)
        self.assertIsNone(call.software_version)

    async def test_a_stream_goes_on_at_its_service(self) -> None:
        # Guards against a route with two services whose streams change between them.
        self.begin(self.gateways[0], "request-1")
        call = self.make_call("again", "request-1")
        call.service = "desk-2"
        await self.gateways[1].versions.bind(call)
        self.assertEqual(call.service, SERVICE)

    async def test_what_is_not_resumable_is_told_to_nobody(self) -> None:
        # Guards against messages for requests that nobody can take up.
        call = make_call(self.clock.now, keyed=True, prompt=True)
        self.gateways[0].versions.record_event(call, make_entry())
        self.assertEqual(self.gateways[0].sent, [])

    async def test_agents_remember_streams_when_all_gateways_are_gone(self) -> None:
        """Guards against streams that are refused after a power loss of gateways."""
        self.start_agents(8)
        for number in range(20):
            self.begin(self.gateways[number % GATEWAYS], f"request-{number}", OLD)
        self.gateways = self.start_gateways()
        self.list_engines(range(8))
        for number in range(20):
            call = await self.resume(self.gateways[0], f"request-{number}")
            self.assertEqual(call.software_version, OLD)

    async def test_streams_are_remembered_while_engines_are_replaced(self) -> None:
        """Guards against agents that go with their engines, and others that come."""
        self.start_agents(8)
        for number in range(20):
            self.begin(self.gateways[0], f"request-{number}", OLD)
        for number in range(2):
            del self.agents[make_agent_host(number)]
        self.gateways = self.start_gateways()
        for number in (20, 21):
            self.agents[make_agent_host(number)] = StreamRecords(self.deliver)
        self.list_engines([*range(2, 8), 20, 21])
        for number in range(20):
            call = await self.resume(self.gateways[0], f"request-{number}")
            self.assertEqual(call.software_version, OLD)

    async def test_an_agent_answers_only_what_it_was_told(self) -> None:
        """Guards against a guess where agents know nothing of a stream."""
        self.start_agents(2)
        self.gateways = self.start_gateways()
        self.list_engines(range(2))
        with self.assertRaises(CallerError):
            await self.resume(self.gateways[0], "request-1")

    async def test_an_agent_remembers_a_stream_as_long_as_its_route_allows(
        self,
    ) -> None:
        """Guards against a long stream that is taken up late."""
        self.start_agents(2)
        call = self.make_call("request-1")
        call.route = msgspec.structs.replace(call.route, timeout=120.0)
        self.gateways[0].versions.record_event(call, make_entry())
        self.gateways = self.start_gateways()
        self.list_engines(range(2))
        self.clock.now += 200.0
        again = await self.resume(self.gateways[0], "request-1")
        self.assertEqual(again.software_version, make_entry().software_version)

    async def test_a_gateway_that_is_alone_refuses_in_time(self) -> None:
        # Guards against a caller that waits for gateways that do not answer.
        for gateway in self.gateways[1:]:
            del self.network[gateway.name]
        async with asyncio.timeout(1.0):
            with self.assertRaises(CallerError):
                await self.resume(self.gateways[0], "request-1")


def make_resumable_route() -> Route:
    """Return a route whose streams may be resumed, of two services."""
    return msgspec.structs.replace(
        make_route(),
        repeat=RetrySafety.RESUMABLE,
        streams=True,
        services=(WeightedService(SERVICE), WeightedService("desk-2")),
    )


if __name__ == "__main__":
    unittest.main()
