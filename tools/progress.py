"""Shows how far long work is: one line that renews itself, or plain lines."""

from __future__ import annotations

import sys
import threading
from contextlib import contextmanager
from typing import TYPE_CHECKING

from tqdm import tqdm

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


@contextmanager
def show_progress(total: int, unit: str) -> Iterator[Callable[[str], None]]:
    """Yield a function that records one of ``total`` steps as done, with its name.

    It may be called from several threads. Other output goes to standard output;
    progress goes to standard error.
    """
    lock = threading.Lock()
    is_terminal = sys.stderr.isatty()
    with tqdm(total=total, unit=unit, disable=not is_terminal) as bar:
        done = 0

        def record(name: str) -> None:
            nonlocal done
            with lock:
                done += 1
                if is_terminal:
                    bar.set_postfix_str(name, refresh=False)
                    bar.update()
                else:
                    print(f"{done} of {total}: {name}", file=sys.stderr, flush=True)

        yield record
