"""Tests TLS with callers and mutual TLS between gateways and agents."""

from __future__ import annotations

import http.client
import json
import os
import ssl
import time
import unittest
from unittest import mock
from urllib.parse import urlsplit

import trustme
from processes import Installation

from .builders import DESK, FOSSE_KEY, Response, publish_examples
from .raw_calls import WAIT_TIMEOUT_SECONDS, exchange, make_head
from .tls_files import AGENT_NAME, GATEWAY_NAME, HOST, TlsFiles, without_authority

ORDER = {"model": "pillar-8b", "prompt": "is the box live?", "max_tokens": 2}


class TlsTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.installation = cls.enterClassContext(Installation())
        cls.files = TlsFiles(cls.installation.directory)
        gateway = cls.files.issue("gateway", GATEWAY_NAME, HOST)
        agent = cls.files.issue("agent", AGENT_NAME, HOST)
        cls.installation.settings = {
            "gateway": {"tls": gateway, "caller_tls": without_authority(gateway)},
            "agent": {"tls": agent},
        }
        cls.installation.start_platform()
        cls.installation.start_store("store-1", "fault-desk-context", "dc-east")
        cls.installation.start_target(DESK, "engine", "fault-desk", "dc-east")
        cls.installation.start_gateway("good", "dc-east")
        publish_examples(cls.installation)
        cls.installation.wait_until_ready()

    def send_completion(
        self, gateway: str, authority: trustme.CA | None = None
    ) -> Response:
        context = ssl.create_default_context()
        (authority or self.files.authority).configure_trust(context)
        address = urlsplit(self.installation.gateways[gateway])
        connection = http.client.HTTPSConnection(
            address.hostname or "", address.port, context=context, timeout=30
        )
        headers = {"Authorization": f"Bearer {FOSSE_KEY}"}
        try:
            connection.request("POST", "/v1/completions", json.dumps(ORDER), headers)
            response = connection.getresponse()
            return Response(response.status, dict(response.headers), response.read())
        finally:
            connection.close()

    def count_runs(self) -> int:
        return len(self.installation.read_target_log(DESK))

    def test_a_completion_runs_over_tls_on_both_sides(self) -> None:
        self.assertEqual(self.send_completion("good").status, 200)

    def test_an_operator_reaches_nodes_with_a_certificate_only(self) -> None:
        section = self.files.issue("operator", "operator.bamboopier")
        path = self.installation.directory / "operator.json"
        path.write_text(json.dumps(section))
        url = self.installation.platform_url
        for variable, generations in ((str(path), [1, 1]), ("", [0, 0])):
            with mock.patch.dict(os.environ, {"BAMBOOPIER_TLS": variable}):
                done = self.installation.run_command(
                    "status", "--platform", url, "--json"
                )
            nodes = json.loads(done.stdout)["nodes"]
            found = [n["generation"] for n in nodes if n["name"] in (DESK, "good")]
            self.assertEqual(found, generations)

    def test_plain_http_gets_nothing_from_a_tls_port(self) -> None:
        url = self.installation.gateways["good"]
        self.assertNotIn(b"200 OK", exchange(url, make_head("GET", "/v1/models")))

    def test_a_caller_that_does_not_trust_the_gateway_sends_nothing(self) -> None:
        before = self.count_runs()
        with self.assertRaises(ssl.SSLCertVerificationError):
            self.send_completion("good", authority=trustme.CA())
        self.assertEqual(self.count_runs(), before)

    def test_a_gateway_rejected_by_agents_reports_not_run(self) -> None:
        # The agent rejects the gateway in the handshake or, if only the name is wrong,
        # at the first call. No request reaches the target, and the caller may retry
        # elsewhere.
        foreign = trustme.CA()
        sections = {
            "untrusted": self.files.issue(
                "untrusted", GATEWAY_NAME, HOST, authority=foreign
            ),
            "expired": self.files.issue("expired", GATEWAY_NAME, HOST, expired=True),
            "misnamed": self.files.issue("misnamed", AGENT_NAME, HOST),
        }
        good = self.installation.settings["gateway"]
        self.addCleanup(self.installation.settings.__setitem__, "gateway", good)
        for name, section in sections.items():
            with self.subTest(name):
                self.installation.settings["gateway"] = good | {"tls": section}
                self.installation.start_gateway(name, "dc-east")
                self.installation.wait_until_ready()
                before = self.count_runs()
                response = self.send_completion(name)
                self.assertEqual(response.error["ran"], "no", response.body)
                self.assertEqual(self.count_runs(), before)

    def test_a_replaced_certificate_is_used_without_a_restart(self) -> None:
        # An operator's tool replaces certificate and key. New connections get the new
        # certificate without a restart of the process.
        path = self.installation.directory / "gateway.pem"
        before = self.read_served_certificate()
        self.files.issue("gateway", GATEWAY_NAME, HOST)
        wanted = ssl.PEM_cert_to_DER_cert(path.read_text())
        self.assertNotEqual(before, wanted)
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while self.read_served_certificate() != wanted:
            self.assertLess(time.monotonic(), deadline, "never replaced")
            time.sleep(0.2)
        self.assertEqual(self.send_completion("good").status, 200)

    def read_served_certificate(self) -> bytes:
        address = urlsplit(self.installation.gateways["good"])
        place = (address.hostname or "", address.port or 0)
        return ssl.PEM_cert_to_DER_cert(ssl.get_server_certificate(place))

    def test_an_agent_rejected_by_the_gateway_gets_no_request(self) -> None:
        # Another server responds at the agent's address, with a certificate of another
        # authority, of another machine, or an expired one.
        foreign = trustme.CA()
        sections = {
            "untrusted": self.files.issue("a1", AGENT_NAME, HOST, authority=foreign),
            "expired": self.files.issue("a2", AGENT_NAME, HOST, expired=True),
            "elsewhere": self.files.issue("a3", AGENT_NAME, "10.9.8.7"),
        }
        good = self.installation.settings["agent"]["tls"]
        self.addCleanup(self.wait_until_served, "good")
        self.addCleanup(self.restart_agent, good)
        for name, section in sections.items():
            with self.subTest(name):
                self.restart_agent(section)
                before = self.count_runs()
                response = self.send_completion("good")
                self.assertEqual(response.error["ran"], "no", response.body)
                self.assertEqual(self.count_runs(), before)

    def restart_agent(self, section: dict[str, str]) -> None:
        """Restart the agent at the same address with another certificate."""
        name = f"{DESK}-agent"
        self.installation.daemons[name].stop()
        path = self.installation.directory / f"{name}.json"
        settings = json.loads(path.read_text()) | {"tls": section}
        path.write_text(json.dumps(settings))
        arguments = ["-m", "bamboopier_cli", "agent", "--settings", str(path)]
        self.installation.start_process(name, arguments)
        self.installation.wait_until_ready()

    def wait_until_served(self, gateway: str) -> None:
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while self.send_completion(gateway).status != 200:
            self.assertLess(time.monotonic(), deadline, "never served again")
            time.sleep(0.1)
