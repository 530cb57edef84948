"""Client and codecs for the users' platform: its names, formats and calls.

This package takes no decisions. It decodes wire formats into the product's
types; payloads that cannot be decoded become a `Malformed` with the reason.
"""

from skylarkpost.decoding import Malformed
from skylarkpost.platform.configuration import (
    decode_adapter_version,
    decode_configuration,
    decode_evacuation,
    evacuated_data_centre,
)
from skylarkpost.platform.engines import EngineCodec
from skylarkpost.platform.headers import HeaderCodec
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
    "decode_evacuation",
    "decode_target",
    "evacuated_data_centre",
]
