"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides. Names on the wire are decoded into the product's types;
bytes that make no sense become a `Malformed`, which says what is wrong.
"""

from skylarkpost.platform.configuration import (
    decode_adapter_version,
    decode_configuration,
)
from skylarkpost.platform.engines import EngineCodec
from skylarkpost.platform.headers import HeaderCodec
from skylarkpost.platform.malformed import Malformed
from skylarkpost.platform.store import OPERATOR_TOPIC, TARGETS_TOPIC, StoreClient
from skylarkpost.platform.targets import decode_target

__all__ = [
    "OPERATOR_TOPIC",
    "TARGETS_TOPIC",
    "EngineCodec",
    "HeaderCodec",
    "Malformed",
    "StoreClient",
    "decode_adapter_version",
    "decode_configuration",
    "decode_target",
]
