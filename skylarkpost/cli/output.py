"""Writes results for people or for programs."""

import sys

import msgspec

__all__ = ["Output", "align"]


class Output:
    """Results on standard output, progress and errors on standard error.

    Parameters
    ----------
    json : bool
        Whether results are written as one JSON document.
    stdout, stderr : file
        Where it goes.
    """

    def __init__(self, *, json, stdout=None, stderr=None):
        self.json = json
        self.stdout = stdout or sys.stdout
        self.stderr = stderr or sys.stderr

    def result(self, content, lines):
        """Write the result of the command.

        Parameters
        ----------
        content : object
            What is written as JSON.
        lines : iterable of str
            What is written for people.
        """
        if self.json:
            encoded = msgspec.json.format(msgspec.json.encode(content), indent=2)
            print(encoded.decode(), file=self.stdout)
            return
        for line in lines:
            print(line, file=self.stdout)

    def progress(self, text):
        """Tell how far a long command is."""
        print(text, file=self.stderr, flush=True)

    def error(self, text):
        """Tell what went wrong."""
        print(f"skylarkpost: {text}", file=self.stderr, flush=True)


def align(rows):
    """Return rows of cells as lines with aligned columns.

    Parameters
    ----------
    rows : list of sequence of str
        All of the same length.

    Returns
    -------
    list of str
    """
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
