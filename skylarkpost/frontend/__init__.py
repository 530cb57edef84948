"""HTTP endpoints for callers and operators."""

from skylarkpost.frontend.app import build_app
from skylarkpost.frontend.credentials import (
    Credentials,
    contains_key,
    extract_credentials,
)
from skylarkpost.frontend.model_request import (
    InvalidContent,
    ModelRequest,
    parse_content,
)

__all__ = [
    "Credentials",
    "InvalidContent",
    "ModelRequest",
    "build_app",
    "contains_key",
    "extract_credentials",
    "parse_content",
]
