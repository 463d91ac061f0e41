"""Lists the models that a workspace may use, in the format of OpenAI's API."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.model import Workspace


class ModelEntry(msgspec.Struct):
    """One model as OpenAI's API lists it."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "bamboopier"


class ModelList(msgspec.Struct):
    """The response of ``/v1/models``."""

    data: list[ModelEntry]
    object: str = "list"


def list_models(directory: Directory, workspace: Workspace) -> ModelList:
    """Return the models of all services that the workspace may call."""
    names: dict[str, None] = {}
    for service_name in workspace.services:
        service = directory.services.get(service_name)
        if service is not None:
            names.update(dict.fromkeys(service.models))
    return ModelList([ModelEntry(name) for name in names])
