"""HTTP towards callers and operators."""

from skylarkpost.frontend.app import build_app
from skylarkpost.frontend.credentials import Credentials, find_key_in, take_credentials
from skylarkpost.frontend.model_request import BadContent, ModelRequest, parse_content

__all__ = [
    "BadContent",
    "Credentials",
    "ModelRequest",
    "build_app",
    "find_key_in",
    "parse_content",
    "take_credentials",
]
