"""The command ``check-settings``."""

import pathlib
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from skylarkpost.cli.exit_codes import ExitCode
from skylarkpost.cli.options import OutputOptions
from skylarkpost.settings import Settings, load_settings
from skylarkpost.settings.gateway import GatewaySettings

__all__ = ["CheckSettingsCommand"]

SCHEMAS = {"api": Settings, "gateway": GatewaySettings}


@cappa.command(name="check-settings", help="Check a daemon's settings file.")
@dataclass(kw_only=True)
class CheckSettingsCommand(OutputOptions):
    """Check a settings file without starting anything."""

    file: Annotated[pathlib.Path, cappa.Arg(help="Settings file of an instance.")]
    front_end: Annotated[
        Literal["api", "gateway"],
        cappa.Arg(long=True, default="api", help="Which program the file is for."),
    ] = "api"

    async def run(self, output):
        """Run the command and return its `ExitCode`."""
        settings = load_settings(self.file, schema=SCHEMAS[self.front_end])
        faults = settings if isinstance(settings, list) else []
        output.result(
            {"file": str(self.file), "faults": [fault._asdict() for fault in faults]},
            [str(fault) for fault in faults] or [f"{self.file}: no faults"],
        )
        return ExitCode.USAGE if faults else ExitCode.OK
