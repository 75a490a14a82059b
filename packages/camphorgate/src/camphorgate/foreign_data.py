"""Errors of decoding data that other programs wrote."""

import msgspec

# A value that is nested thousands of levels deep exhausts the stack.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
