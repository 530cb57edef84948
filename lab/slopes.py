"""Measures how costs scale with size in the real code: ``python -m lab.slopes``.

Each slope is measured repeatedly at several sizes and fitted by a straight line.
The spread is the largest relative deviation of a repetition from the median at
its size.
"""

import argparse
import json
import statistics
import sys
from typing import NamedTuple

import lab.slope_cases  # noqa: F401 (fills the registry)
from lab.slope_registry import cases

__all__ = ["Slope", "main", "measure_slope"]

REPETITIONS = 3


class Slope(NamedTuple):
    """A measured slope.

    Attributes
    ----------
    name, unit : str
        Name of the measurement, and unit of its values.
    per : str
        Object counted by the size.
    points : list of (int, float)
        Sizes with the median values.
    slope, constant : float
        Slope and intercept of the fitted line.
    fit : float
        Coefficient of determination of the line.
    spread : float
        Largest relative deviation of a repetition from its median.
    """

    name: str
    unit: str
    per: str
    points: list
    slope: float
    constant: float
    fit: float
    spread: float


def measure_slope(case):
    """Measure one case at all its sizes.

    Parameters
    ----------
    case : lab.slope_registry.Case
        Case to measure.

    Returns
    -------
    Slope
    """
    points = []
    spread = 0.0
    for size in case.sizes:
        values = [case.measure(size) for _ in range(REPETITIONS)]
        median_value = statistics.median(values)
        widest = max(abs(value - median_value) for value in values)
        spread = max(spread, widest / median_value if median_value else 0.0)
        points.append((size, median_value))
    slope, constant, fit = _fit(points)
    return Slope(case.name, case.unit, case.per, points, slope, constant, fit, spread)


def _fit(points):
    sizes = [float(size) for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    mean = statistics.fmean(values)
    total = sum((value - mean) ** 2 for value in values)
    residual = sum(
        (value - line.slope * size - line.intercept) ** 2
        for size, value in zip(sizes, values, strict=True)
    )
    return line.slope, line.intercept, 1 - residual / total if total else 1.0


def _format(slope):
    points = ", ".join(f"{size}: {value:.4g}" for size, value in slope.points)
    return (
        f"| {slope.name} | {slope.unit} | {points} | {slope.slope:.4g} a {slope.per}"
        f" + {slope.constant:.4g} | {slope.fit:.3f} | {slope.spread:.0%} |\n"
    )


def main(arguments=None):
    """Measure the chosen slopes from the command line.

    Parameters
    ----------
    arguments : list of str or None
        Command-line arguments; None uses ``sys.argv``.
    """
    parser = argparse.ArgumentParser(prog="lab.slopes", description=__doc__)
    parser.add_argument("--case", action="append", choices=cases)
    parser.add_argument("--json", action="store_true", help="one line a slope")
    options = parser.parse_args(arguments)
    if not options.json:
        sys.stdout.write("| slope | unit | size: median | line | fit | spread |\n")
        sys.stdout.write("|---|---|---|---|---:|---:|\n")
    for name in options.case or cases:
        slope = measure_slope(cases[name])
        text = json.dumps(slope._asdict()) + "\n" if options.json else _format(slope)
        sys.stdout.write(text)
        sys.stdout.flush()


if __name__ == "__main__":
    main()
