"""The one place where foreign bytes become values."""

import ipaddress
from typing import Annotated, NamedTuple

import msgspec

__all__ = [
    "Count",
    "Malformed",
    "Seconds",
    "decode_json",
    "decode_msgpack",
    "is_address",
]

MAX_DETAIL_CHARACTERS = 300
MAX_PORT = 65_535
# Counters, times in milliseconds and versions fit into it with room to add.
MAX_COUNT = 2**53
# About thirty years; a longer wait is no wait.
MAX_SECONDS = 1e9

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_SECONDS)]


class Malformed(NamedTuple):
    """A payload that cannot be decoded.

    Attributes
    ----------
    detail : str
        Reason, for the log.
    """

    detail: str


def decode_json(payload, value_type):
    """Decode JSON of another process.

    Parameters
    ----------
    payload : bytes
        The bytes.
    value_type : type
        What they have to hold.

    Returns
    -------
    object or Malformed

    Examples
    --------
    >>> decode_json(b"[1, 2]", list[int])
    [1, 2]
    >>> decode_json(b"[" * 100_000, list)
    Malformed(detail='nested too deeply')
    """
    return _decode(msgspec.json.decode, payload, value_type)


def decode_msgpack(payload, value_type):
    """Decode MessagePack of another process; see `decode_json`."""
    return _decode(msgspec.msgpack.decode, payload, value_type)


def is_address(text):
    """Return whether a text is an IPv4 address with a port.

    Parameters
    ----------
    text : str
        The text.

    Returns
    -------
    bool

    Examples
    --------
    >>> is_address("127.0.0.1:80"), is_address("127.0.0.1:70000"), is_address("::1:80")
    (True, False, False)
    """
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_port or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def _decode(decode, payload, value_type):
    try:
        return decode(payload, type=value_type)
    except RecursionError:
        # The decoder also descends into fields that nobody asks for.
        return Malformed("nested too deeply")
    except (msgspec.DecodeError, ValueError, OverflowError) as error:
        return Malformed(str(error)[:MAX_DETAIL_CHARACTERS] or repr(error))
