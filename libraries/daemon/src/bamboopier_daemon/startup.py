"""Loads a daemon's modules with little processor time.

Load pattern: all processes of an installation start at the same moment on small VMs,
and their callers' requests are due already. Loading modules is most of a start.
"""

from __future__ import annotations

import gc
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def loading_modules() -> Iterator[None]:
    """Collect no garbage while modules are loaded, and never examine what they hold.

    Modules, classes and functions stay until the process ends. Each collection during
    the start would examine all of them again, and so would each full one later.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
