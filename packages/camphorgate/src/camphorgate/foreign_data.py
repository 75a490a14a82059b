"""Errors and bounds of decoding data that other programs wrote."""

from typing import Annotated

import msgspec

# A value that is nested thousands of levels deep exhausts the stack.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
# An integer that instances can exchange: MessagePack has 64 bits.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
# Digits of the largest decimal number that always fits into one.
MAX_INT64_DIGITS = 18
