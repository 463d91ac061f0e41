"""What decoding of bytes from outside this process may raise, and numbers in them."""

from __future__ import annotations

from typing import Annotated

import msgspec

# ``msgspec`` reports a value that is nested too deeply as a recursion, and a number of
# thousands of digits as an error of Python. Guards against an entry of another writer
# that ends the process of each reader.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError)

# JSON has numbers of any size, and those beyond a float's raise errors in calculations.
# Guards against an entry of another writer that ends processes, or fails requests.
MAX_NUMBER = 2**53
BoundedInt = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
BoundedFloat = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
