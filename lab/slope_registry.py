"""Registry of slope measurements."""

from typing import NamedTuple

__all__ = ["Case", "cases", "register_case"]

cases = {}


class Case(NamedTuple):
    """One slope measurement.

    Attributes
    ----------
    name, unit, per : str
        Name of the measurement, unit of its values, object counted by the size.
    sizes : tuple of int
        Sizes at which it is measured.
    measure : callable
        Called with a size; returns the value.
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
