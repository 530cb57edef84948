"""Runs one gateway instance with the settings file that the environment names.

Needs no command line, whose library would be a fifth of the time to start.
"""

import os
import pathlib
import signal
import sys

# A SIGHUP during the imports must not end the process; the settings are read after
# the imports anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from skylarkpost.gateway.run import run_gateway  # noqa: E402
from skylarkpost.runtime import EXIT_BAD_SETTINGS  # noqa: E402

SETTINGS_VARIABLE = "SKYLARKPOST_SETTINGS"

path = os.environ.get(SETTINGS_VARIABLE)
if not path:
    print(f"{SETTINGS_VARIABLE} does not name a settings file", file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)
run_gateway(pathlib.Path(path))
