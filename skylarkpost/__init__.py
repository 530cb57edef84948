"""A serving layer for very many LoRA adapters.

Each subpackage covers one subject and lists its public API in ``__all__``. The
daemon (`skylarkpost.daemon`) runs them in one process; `skylarkpost.cli` is the
operators' command-line tool.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
