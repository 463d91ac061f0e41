"""Safeguards of drains, targets that leave, and shutdown."""

from __future__ import annotations

from mutations import Mutation

MUTATIONS = (
    Mutation(
        "a leaving VM stays excluded while lists alternate",
        "libraries/decisions/src/bamboopier_decisions/membership/leaving.py",
        "            elif name in self._live_since:\n"
        "                self._record_live(now, name)\n",
        "            else:\n                self._live_since.pop(name, None)\n",
        "libraries/decisions",
        "tests.membership.test_fleet_view.FleetViewTests."
        "test_a_leaving_vm_stays_excluded_while_lists_alternate",
    ),
    Mutation(
        "the targets of a drained data centre are excluded",
        "libraries/decisions/src/bamboopier_decisions/membership/fleet_view.py",
        "        return target in self.targets or data_centre in self.data_centres\n",
        "        return target in self.targets\n",
        "libraries/decisions",
        "tests.membership.test_fleet_view.FleetViewTests."
        "test_drained_targets_are_excluded_until_restored",
    ),
    Mutation(
        "the agent of a drained target itself refuses requests",
        "libraries/agent/src/bamboopier_agent/availability_gate.py",
        "        self._drained = drained_set.contains(\n"
        "            self._settings.target, self._settings.data_centre\n"
        "        )\n",
        "        self._drained = False\n",
        ".",
        "tests.test_drain.DrainTests."
        "test_the_agent_refuses_requests_of_a_gateway_with_stale_configuration",
    ),
    Mutation(
        "the agent of a leaving target itself refuses requests",
        "libraries/agent/src/bamboopier_agent/availability_gate.py",
        "            self._leaving = "
        "bool(self._leaving_vms.update(time.monotonic(), listed))\n",
        "            self._leaving = False\n",
        ".",
        "tests.test_drain.DrainTests.test_a_removed_target_completes_its_streams",
    ),
    Mutation(
        "open streams of a removed target continue",
        "libraries/gateway/src/bamboopier_gateway/agent_channel.py",
        "close(CLOSE_GRACE_SECONDS)",
        "close(None)",
        ".",
        "tests.test_drain.DrainTests.test_a_removed_target_completes_its_streams",
    ),
    Mutation(
        "open streams of a stopping agent continue after a failed connect",
        "libraries/gateway/src/bamboopier_gateway/agent_channel.py",
        "close(CLOSE_GRACE_SECONDS)",
        "close(None)",
        "libraries/gateway",
        "tests.test_stopping_agents.StoppingAgentTests."
        "test_a_failed_connect_cuts_no_stream",
    ),
    Mutation(
        "a channel with streams of a stopping agent is not reconnected",
        "libraries/gateway/src/bamboopier_gateway/agent_connections.py",
        "if channel is not None and channel.has_lost_connection:",
        "if channel is not None and False:",
        "libraries/gateway",
        "tests.test_stopping_agents.StoppingAgentTests."
        "test_streams_of_a_stopping_agent_cause_no_reconnecting",
    ),
    Mutation(
        "a connection that is lost during a connect is not made again",
        "libraries/gateway/src/bamboopier_gateway/agent_channel.py",
        "while not self.was_ready:",
        "while True:",
        "libraries/gateway",
        "tests.test_agent_channel",
    ),
    Mutation(
        "a call that gives up connecting leaves the channel to those that wait",
        "libraries/gateway/src/bamboopier_gateway/agent_channel.py",
        "self._waiting == 0 and not self.was_ready",
        "not self.was_ready",
        "libraries/gateway",
        "tests.test_agent_connections.AgentConnectionsTests."
        "test_a_connect_with_little_time_left_ends_no_other",
    ),
    Mutation(
        "channels do not share connection attempts",
        "libraries/gateway/src/bamboopier_gateway/agent_connections.py",
        '    ("grpc.use_local_subchannel_pool", 1),\n',
        "",
        "libraries/gateway",
        "tests.test_agent_connections.AgentConnectionsTests."
        "test_a_failure_of_another_channel_is_not_reported",
    ),
    Mutation(
        "a drain that conflicts with another operator's is retried",
        "libraries/cli/src/bamboopier_cli/publishing.py",
        "        if not isinstance(outcome.err_value, VersionConflictError):\n"
        "            raise CommandError(str(outcome.err_value))\n",
        "        raise CommandError(str(outcome.err_value))\n",
        "libraries/cli",
        "tests.test_publishing.DrainTests.test_a_drain_that_conflicts_is_retried",
    ),
    Mutation(
        "a gateway in a drained data centre is not ready",
        "libraries/gateway/src/bamboopier_gateway/application.py",
        "and not drained",
        "",
        ".",
        "tests.test_drain.DrainTests."
        "test_a_data_centre_is_drained_and_restored_while_the_platform_is_slow",
    ),
    Mutation(
        "a stopping agent waits for its streams",
        "libraries/agent/src/bamboopier_agent/shutdown.py",
        "    await gate.wait_until_idle()\n    await server.stop(grace=timeout)\n",
        "    await server.stop(grace=0.0)\n",
        ".",
        "tests.test_shutdown.GracefulTests."
        "test_an_agent_finishes_streams_while_new_work_goes_elsewhere",
    ),
    Mutation(
        "a stopping agent sends its responses for as long as its shutdown may take",
        "libraries/agent/src/bamboopier_agent/shutdown.py",
        "    await server.stop(grace=timeout)\n",
        "    await server.stop(grace=min(timeout, 30.0))\n",
        "libraries/agent",
        "tests.test_shutdown",
    ),
    Mutation(
        "a stopping gateway waits for its streams",
        "libraries/gateway/src/bamboopier_gateway/daemon.py",
        "    await application.wait_until_idle()\n",
        "    await asyncio.sleep(0)\n",
        ".",
        "tests.test_shutdown.GracefulTests."
        "test_a_gateway_finishes_streams_and_refuses_new_requests",
    ),
    Mutation(
        "a stopping gateway sends the rest of its responses to slow callers",
        "libraries/gateway/src/bamboopier_gateway/listener.py",
        "        await self._connections.wait_until_all_closed()\n",
        "",
        "libraries/gateway",
        "tests.test_listener",
    ),
    Mutation(
        "a stopping gateway on the users' platform does so, too",
        "libraries/proxy/src/bamboopier_proxy/caller_listener.py",
        "        await self._connections.wait_until_all_closed()\n",
        "",
        "libraries/proxy",
        "tests.test_caller_listener",
    ),
    Mutation(
        "a gateway forced to stop reports the outcome to open callers",
        "libraries/gateway/src/bamboopier_gateway/daemon.py",
        "                await application.abort_requests()\n",
        "                pass\n",
        ".",
        "tests.test_shutdown.ForcedTests.test_a_second_signal_ends_a_gateway_at_once",
    ),
    Mutation(
        "a second signal ends a daemon at once",
        "libraries/daemon/src/bamboopier_daemon/stopping.py",
        "            self._second.set()\n",
        "            pass\n",
        ".",
        "tests.test_shutdown.ForcedTests.test_a_second_signal_ends_an_agent_at_once",
    ),
    Mutation(
        "a shutdown that exceeds its time limit still ends in order",
        "libraries/daemon/src/bamboopier_daemon/stopping.py",
        "                {work, second}, timeout=timeout,",
        "                {work, second}, timeout=None,",
        ".",
        "tests.test_shutdown.ForcedTests."
        "test_an_agent_exits_cleanly_after_its_shutdown_timeout",
    ),
)
