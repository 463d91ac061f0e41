"""What decoding of bytes from outside this process may raise."""

from __future__ import annotations

import msgspec

# ``msgspec`` reports a value that is nested too deeply as a recursion, and a number of
# thousands of digits as an error of Python. Guards against an entry of another writer
# that ends the process of each reader.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError)
