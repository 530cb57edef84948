"""Registry of the slopes that can be measured."""

from typing import NamedTuple

__all__ = ["Case", "cases", "register_case"]

cases = {}


class Case(NamedTuple):
    """One slope.

    Attributes
    ----------
    name, unit, per : str
        What is measured, the unit of its values, what the size counts.
    sizes : tuple of int
        At which it is measured.
    measure : callable
        Takes a size; returns the value.
    """

    name: str
    unit: str
    per: str
    sizes: tuple
    measure: object


def register_case(name, *, unit, per, sizes):
    """Register the function that measures one slope.

    Parameters
    ----------
    name, unit, per : str
        See `Case`.
    sizes : tuple of int
        See `Case`.

    Returns
    -------
    callable
        The function's decorator.
    """

    def decorate(measure):
        assert name not in cases, f"slope {name} is registered twice"
        cases[name] = Case(name, unit, per, sizes, measure)
        return measure

    return decorate
