"""Joins the operators' files into one configuration and checks it across files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from .errors import ConfigurationError
from .model import Configuration, ConfigurationFile, Drains
from .reader import format_value, read_file

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from .model import Service, Workspace

FILE_SUFFIX = ".bamboopier.json"
SECTIONS = ("services", "workspaces", "models", "stores")


def find_files(roots: Iterable[Path]) -> list[Path]:
    """Return the configuration files at or below ``roots``, in a stable order."""
    found: set[Path] = set()
    for root in roots:
        if root.is_dir():
            found.update(root.rglob(f"*{FILE_SUFFIX}"))
        else:
            found.add(root)
    return sorted(found)


def collect(files: Iterable[Path]) -> Result[Configuration, ConfigurationError]:
    """Join ``files`` into one configuration, or return the first error.

    Files contain no drains, so the result has none; a publisher keeps the current ones.
    """
    collection = _Collection()
    for file in files:
        result = read_file(file, ConfigurationFile)
        if isinstance(result, Err):
            return result
        error = collection.add(result.ok_value, str(file))
        if error is not None:
            return Err(error)
    error = collection.find_dangling_reference()
    return Err(error) if error is not None else Ok(collection.joined)


class _Collection:
    """The files joined so far, and the position of each name in them."""

    def __init__(self) -> None:
        self.joined = Configuration(
            services=[], workspaces=[], models=[], stores=[], drains=Drains([], [])
        )
        # File and JSON path of the first use of a name in a section, or of a digest.
        self._name_positions: dict[tuple[str, str], tuple[str, str]] = {}
        self._digest_positions: dict[str, tuple[str, str]] = {}

    def add(self, part: ConfigurationFile, file: str) -> ConfigurationError | None:
        """Add one file; return the first error in it."""
        for section in SECTIONS:
            for index, item in enumerate(getattr(part, section)):
                path = f"$.{section}[{index}]"
                first = self._name_positions.setdefault(
                    (section, item.name), (file, path)
                )
                if first != (file, path):
                    found = f"duplicate name '{item.name}'"
                    return _make_duplicate_error(
                        file, f"{path}.name", found, "name", first
                    )
                getattr(self.joined, section).append(item)
        return (
            self._check_kinds(part.services)
            or self._check_routes(part.services)
            or self._check_digests(part.workspaces)
        )

    def find_dangling_reference(self) -> ConfigurationError | None:
        """Return the first reference to a name that no file defines."""
        joined = self.joined
        services = {service.name for service in joined.services}
        models = {model.name for model in joined.models}
        stores = {store.name for store in joined.stores}
        for service in joined.services:
            position = self._name_positions["services", service.name]
            for index, model in enumerate(service.models):
                if model not in models:
                    return _make_dangling_error(
                        position, f"models[{index}]", model, models
                    )
            if service.store is not None and service.store not in stores:
                return _make_dangling_error(position, "store", service.store, stores)
        for workspace in joined.workspaces:
            position = self._name_positions["workspaces", workspace.name]
            for index, name in enumerate(workspace.services):
                if name not in services:
                    return _make_dangling_error(
                        position, f"services[{index}]", name, services
                    )
        return None

    def _check_kinds(self, services: list[Service]) -> ConfigurationError | None:
        """Refuse fields that do not fit the kind of a service."""
        for service in services:
            file, position = self._name_positions["services", service.name]
            if service.kind == "model" and not service.models:
                allowed = 'at least one model for a service of kind "model"'
                return ConfigurationError(file, f"{position}.models", "none", allowed)
            if service.kind == "plain" and (service.models or service.store):
                field = "models" if service.models else "store"
                found = format_value(getattr(service, field))
                allowed = 'nothing for a service of kind "plain"'
                return ConfigurationError(file, f"{position}.{field}", found, allowed)
        return None

    def _check_routes(self, services: list[Service]) -> ConfigurationError | None:
        """Refuse a route that no request can match."""
        for service in services:
            file, position = self._name_positions["services", service.name]
            seen: dict[tuple[str, str], tuple[str, str]] = {}
            for index, route in enumerate(service.routes):
                path = f"{position}.routes[{index}]"
                if {".", ".."} & set(route.path.split("/")):
                    allowed = "a path without '.' and '..' segments"
                    return ConfigurationError(
                        file, f"{path}.path", f"'{route.path}'", allowed
                    )
                key = (route.method, route.path.rstrip("/"))
                first = seen.setdefault(key, (file, path))
                if first != (file, path):
                    found = f"second route for {route.method} {route.path}"
                    return _make_duplicate_error(file, path, found, "route", first)
        return None

    def _check_digests(self, workspaces: list[Workspace]) -> ConfigurationError | None:
        """Refuse an API key that two workspaces share.

        Its requests would be attributed to the workspace that comes last, and use that
        workspace's context.
        """
        for workspace in workspaces:
            file, position = self._name_positions["workspaces", workspace.name]
            for index, digest in enumerate(workspace.api_key_digests):
                path = f"{position}.api_key_digests[{index}]"
                first = self._digest_positions.setdefault(digest, (file, path))
                if first != (file, path):
                    found = "a digest that is already in use"
                    return _make_duplicate_error(file, path, found, "digest", first)
        return None


def _make_duplicate_error(
    file: str, path: str, found: str, kind: str, first: tuple[str, str]
) -> ConfigurationError:
    allowed = f"a {kind} not yet used (first used in {first[0]} at {first[1]})"
    return ConfigurationError(file, path, found, allowed)


def _make_dangling_error(
    position: tuple[str, str], field: str, name: str, defined: set[str]
) -> ConfigurationError:
    file, path = position
    allowed = ", ".join(sorted(defined)) or "nothing is defined yet"
    return ConfigurationError(
        file, f"{path}.{field}", f"unknown name '{name}'", allowed
    )
