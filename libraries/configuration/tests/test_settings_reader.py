"""Errors in the settings of a process, including combinations of fields."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from bamboopier_configuration.settings import GatewaySettings
from bamboopier_configuration.settings_reader import read_settings

from .builders import make_settings

ANYWHERE = {"host": "0.0.0.0", "port": 8080}
CALLERS = {"certificate": "none.pem", "key": "none.key"}
SECTION = {**CALLERS, "authority": "none.pem"}
FAULTS: list[tuple[dict[str, Any], str, str]] = [
    ({"admin": {"host": "127.0.0.1", "port": 8080}}, "$.admin", "other than listen"),
    ({"admin": ANYWHERE}, "$.admin", "other than listen"),
    ({"listen": {"host": "localhost", "port": 1}}, "$.listen.host", "IP address"),
    ({"listen": ANYWHERE}, "$.listen", '"allow_plain": true'),
    ({"platform_url": "http://10.0.0.9:7000"}, "$.platform_url", "https, a loopback"),
    ({"tls": SECTION}, "$.tls.certificate", "a readable PEM file"),
    ({"caller_tls": CALLERS}, "$.caller_tls.certificate", "a readable PEM file"),
    ({"platform_url": "platform:7000"}, "$.platform_url", "https?://"),
    ({"block_secret": "short"}, "$.block_secret", "matching regex"),
    ({"max_connections": 0}, "$.max_connections", "int >= 1"),
]


class SettingsReaderTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / "gateway.json"

    def test_each_fault_names_its_path_and_cure(self) -> None:
        for changes, path, allowed in FAULTS:
            with self.subTest(changes):
                self.path.write_text(json.dumps(make_settings(**changes)))
                error = read_settings(self.path, GatewaySettings).unwrap_err()
                self.assertEqual((error.file, error.path), (str(self.path), path))
                self.assertIn(allowed, error.allowed)
                self.assertNotIn("short", error.found)

    def test_plain_traffic_is_allowed_by_a_setting(self) -> None:
        admin = {"host": "127.0.0.1", "port": 9080}
        settings = make_settings(listen=ANYWHERE, admin=admin, allow_plain=True)
        self.path.write_text(json.dumps(settings))
        self.assertTrue(read_settings(self.path, GatewaySettings).is_ok())
