"""Decoding of what other processes have written: failures are values."""

from skylarkpost.decoding.boundary import (
    Count,
    Malformed,
    Seconds,
    decode_json,
    decode_msgpack,
    is_address,
)

__all__ = [
    "Count",
    "Malformed",
    "Seconds",
    "decode_json",
    "decode_msgpack",
    "is_address",
]
