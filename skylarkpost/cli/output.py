"""Writes results as text or as JSON."""

import sys

import msgspec

__all__ = ["Output", "align"]


class Output:
    """Writes results to standard output, progress and errors to standard error.

    Parameters
    ----------
    json : bool
        Whether to write results as one JSON document.
    stdout, stderr : file
        Output files; those of the process by default.
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
            Result for JSON output.
        lines : iterable of str
            Result for text output.
        """
        if self.json:
            encoded = msgspec.json.format(msgspec.json.encode(content), indent=2)
            print(encoded.decode(), file=self.stdout)
            return
        for line in lines:
            print(line, file=self.stdout)

    def progress(self, text):
        """Print the progress of a long command."""
        print(text, file=self.stderr, flush=True)

    def error(self, text):
        """Print an error message."""
        print(f"skylarkpost: {text}", file=self.stderr, flush=True)


def align(rows):
    """Format rows of cells as lines with aligned columns.

    Parameters
    ----------
    rows : list of sequence of str
        Rows of equal length.

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
