"""Plots the comparison of systems: ``python -m lab.plots``.

Reads the output of ``python -m lab.measure --json``.
"""

import argparse
import json
import pathlib

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

__all__ = ["main", "plot"]

PANELS = (
    ("stalled_share", "load stalls, share of requests", "linear"),
    ("stall_p99_s", "load stall p99, s", "log"),
    ("preamble_share", "preamble tokens from cache, share", "linear"),
    ("team_p95_ratio", "first token p95, worst team over best", "log"),
    ("refused_within_rate", "refused although within rate", "symlog"),
    ("first_token_p95_u0_s", "first token p95, most urgent, s", "log"),
)
BAR_WIDTH = 0.38
SIZE_INCHES = (13, 8)
RESOLUTION_DPI = 80


def plot(lines, deployment, path):
    """Plot the figures of one deployment.

    Parameters
    ----------
    lines : list of dict
        Lines printed by ``lab.measure --json``.
    deployment : str
        Name of the deployment.
    path : pathlib.Path
        Output file.
    """
    lines = [line for line in lines if line["deployment"] == deployment]
    chosen = list(dict.fromkeys(line["scenario"] for line in lines))
    shown = list(dict.fromkeys(line["system"] for line in lines))
    values = {(line["scenario"], line["system"], line["key"]): line for line in lines}
    figure, axes = pyplot.subplots(2, 3, figsize=SIZE_INCHES)
    for axis, (key, title, scale) in zip(axes.flat, PANELS, strict=True):
        for number, system in enumerate(shown):
            heights = [values[scenario, system, key]["value"] for scenario in chosen]
            positions = [index + number * BAR_WIDTH for index in range(len(chosen))]
            axis.bar(positions, heights, BAR_WIDTH, label=system)
        bounds = [values[scenario, shown[-1], key]["bound"] for scenario in chosen]
        centres = [index + BAR_WIDTH / 2 for index in range(len(chosen))]
        if None not in bounds:
            axis.plot(centres, bounds, "k_", markersize=22, label="bound")
        axis.set_yscale(scale)
        axis.set_title(title, fontsize=10)
        axis.set_xticks(centres, chosen, rotation=40, ha="right", fontsize=8)
    axes.flat[0].legend(fontsize=8)
    figure.suptitle(deployment)
    figure.tight_layout()
    figure.savefig(path, dpi=RESOLUTION_DPI, metadata={"Software": None})
    pyplot.close(figure)


def main(arguments=None):
    """Plot all deployments from the command line.

    Parameters
    ----------
    arguments : list of str or None
        Command-line arguments; None uses ``sys.argv``.
    """
    parser = argparse.ArgumentParser(prog="lab.plots", description=__doc__)
    parser.add_argument("figures", help="file with the lines of lab.measure --json")
    parser.add_argument("--directory", default="docs/plots")
    options = parser.parse_args(arguments)
    text = pathlib.Path(options.figures).read_text(encoding="utf-8")
    lines = [json.loads(line) for line in text.splitlines()]
    directory = pathlib.Path(options.directory)
    directory.mkdir(parents=True, exist_ok=True)
    for deployment in dict.fromkeys(line["deployment"] for line in lines):
        plot(lines, deployment, directory / f"{deployment}.png")


if __name__ == "__main__":
    main()
