"""Safeguards against streams that targets of several software versions write."""

from __future__ import annotations

from mutations import Mutation

_PROXY = "libraries/proxy/src/bamboopier_proxy/"
_FORWARDING = "libraries/decisions/src/bamboopier_decisions/forwarding/"

MUTATIONS = (
    Mutation(
        "a stream goes on at targets of its version only",
        _FORWARDING + "placement.py",
        "if demand.software_version not in (None, state.entry.software_version):",
        "if False:",
        "libraries/decisions",
        "tests.forwarding.test_software_versions",
    ),
    Mutation(
        "the first origin of a stream stays",
        _FORWARDING + "stream_origins.py",
        "known = self.find(now, key) or origin",
        "known = origin",
        "libraries/decisions",
        "tests.forwarding.test_software_versions",
    ),
    Mutation(
        "an old list shows no version",
        _FORWARDING + "version_history.py",
        "if since is None or list_age > MAX_WATCHED_AGE_SECONDS:",
        "if since is None:",
        "libraries/decisions",
        "tests.forwarding.test_software_versions",
    ),
    Mutation(
        "a list that was just read shows no version",
        _FORWARDING + "version_history.py",
        "        if now - since < longest:\n            return None\n",
        "",
        "libraries/decisions",
        "tests.forwarding.test_software_versions",
    ),
    Mutation(
        "a version counts while its streams may last",
        _FORWARDING + "version_history.py",
        "                    last_listed[version] = now\n",
        "                    del last_listed[version]\n",
        "libraries/decisions",
        "tests.forwarding.test_software_versions",
    ),
    Mutation(
        "a gap in the changes hides versions",
        _FORWARDING + "version_history.py",
        "        elif now - known_until > MAX_LIST_AGE_SECONDS:\n",
        "        elif False:\n",
        "libraries/decisions",
        "tests.forwarding.test_software_versions",
    ),
    Mutation(
        "other gateways are told of a stream",
        _PROXY + "stream_versions.py",
        "[*neighbours, *self._agents.select(key, AGENTS)]:\n",
        "self._agents.select(key, AGENTS):\n",
        "libraries/proxy",
        "tests.test_stream_versions",
    ),
    Mutation(
        "agents are told of a stream",
        _PROXY + "stream_versions.py",
        "[*neighbours, *self._agents.select(key, AGENTS)]:\n",
        "neighbours:\n",
        "libraries/proxy",
        "tests.test_stream_versions",
    ),
    Mutation(
        "a stream that nobody knows is refused",
        _PROXY + "stream_versions.py",
        "        if origin is None:\n            message",
        "        if origin is None:\n            return\n            message",
        "libraries/proxy",
        "tests.test_stream_versions",
    ),
    Mutation(
        "a stream goes on at its service",
        _PROXY + "stream_versions.py",
        "            call.service = origin.service\n",
        "            pass\n",
        "libraries/proxy",
        "tests.test_stream_versions",
    ),
    Mutation(
        "the version is that of the first event's target",
        _PROXY + "exchange.py",
        "                    self._stream_versions.record_event("
        "call, in_flight.state.entry)\n",
        "",
        "platform",
        "tests.test_software_versions",
    ),
    Mutation(
        "versions are stored for gateways that all restart",
        _PROXY + "version_records.py",
        "            await self._records.write(service, versions)\n",
        "            pass\n",
        "libraries/proxy",
        "tests.test_stored_records",
    ),
)
