"""A serving layer for very many LoRA adapters.

Subpackages are arranged by subject; each one states its public API in
``__all__``. The daemon (`skylarkpost.daemon`) joins them into one process and
the command-line tool (`skylarkpost.cli`) serves operators.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
