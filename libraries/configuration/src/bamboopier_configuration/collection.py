"""Join the operators' files into one configuration and check it as a whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from .errors import ConfigurationError
from .model import Configuration, Drains
from .reader import read_file

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

FILE_SUFFIX = ".bamboopier.json"


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
    """Join ``files`` into one configuration; the first fault found is returned."""
    places: dict[tuple[str, str], str] = {}
    joined = Configuration(
        services=[], workspaces=[], models=[], stores=[], drains=Drains([], [])
    )
    for file in files:
        match read_file(file, Configuration):
            case Err(error):
                return Err(error)
            case Ok(part):
                duplicate = _add(joined, part, str(file), places)
                if duplicate is not None:
                    return Err(duplicate)
    fault = _find_dangling(joined, places)
    return Err(fault) if fault is not None else Ok(joined)


def _add(
    joined: Configuration,
    part: Configuration,
    file: str,
    places: dict[tuple[str, str], str],
) -> ConfigurationError | None:
    for section in ("services", "workspaces", "models", "stores"):
        for index, item in enumerate(getattr(part, section)):
            place = places.get((section, item.name))
            if place is not None:
                return ConfigurationError(
                    file,
                    f"$.{section}[{index}].name",
                    f"duplicate name '{item.name}'",
                    f"a name not yet used (first used in {place})",
                )
            places[section, item.name] = file
            getattr(joined, section).append(item)
    joined.drains.data_centres.extend(part.drains.data_centres)
    joined.drains.targets.extend(part.drains.targets)
    return None


def _find_dangling(
    joined: Configuration, places: dict[tuple[str, str], str]
) -> ConfigurationError | None:
    """Return the first reference to a name that no file defines."""
    services = {service.name for service in joined.services}
    models = {model.name for model in joined.models}
    stores = {store.name for store in joined.stores}
    for service in joined.services:
        file = places["services", service.name]
        for model in service.models:
            if model not in models:
                return _dangling(file, f"services.{service.name}.models", model, models)
        if service.store is not None and service.store not in stores:
            where = f"services.{service.name}.store"
            return _dangling(file, where, service.store, stores)
    for workspace in joined.workspaces:
        file = places["workspaces", workspace.name]
        for name in workspace.services:
            if name not in services:
                where = f"workspaces.{workspace.name}.services"
                return _dangling(file, where, name, services)
    return None


def _dangling(file: str, path: str, name: str, known: set[str]) -> ConfigurationError:
    allowed = ", ".join(sorted(known)) or "nothing is defined yet"
    return ConfigurationError(file, f"$.{path}", f"unknown name '{name}'", allowed)
