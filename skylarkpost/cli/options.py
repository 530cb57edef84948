"""Options shared by several commands."""

import contextlib
import getpass
from dataclasses import dataclass
from typing import Annotated

import aiohttp
import cappa

from skylarkpost.cli.exit_codes import ExitCode
from skylarkpost.cli.session import ConfigSession
from skylarkpost.cli.tool_settings import load_tool_settings
from skylarkpost.log import LogClient, LogUnavailable

__all__ = ["ChangeOptions", "CommandFailed", "InstanceOptions", "LogOptions"]

# Longer than the instances' timeout: an operator prefers waiting to an unknown
# outcome.
ANSWER_TIMEOUT_S = 8.0


class CommandFailed(Exception):  # noqa: N818 - ends the command, not always an error
    """Ends a command early.

    Parameters
    ----------
    code : ExitCode
        Exit code of the program.
    messages : list of str
        Error messages for the operator.
    """

    def __init__(self, code, *messages):
        super().__init__(*messages)
        self.code = code
        self.messages = messages


@dataclass(kw_only=True)
class OutputOptions:
    """Options of every command."""

    json: Annotated[
        bool, cappa.Arg(long=True, help="Write one JSON document for programs.")
    ] = False


@dataclass(kw_only=True)
class LogOptions(OutputOptions):
    """Options of commands that read the log."""

    log_url: Annotated[
        str | None,
        cappa.Arg(long=True, help="The platform's log, http://IP:PORT."),
    ] = None

    def tool_settings(self):
        """Return the validated settings; raise `CommandFailed` if they are invalid."""
        options = {"log_url": self.log_url, "author": getattr(self, "author", None)}
        return load_settings_or_fail(options)

    @contextlib.asynccontextmanager
    async def open_session(self, output):
        """Open a session and read the log to its end.

        Parameters
        ----------
        output : Output
            Output of the command.
        """
        settings = self.tool_settings()
        if settings.log_url is None:
            message = "no log: give --log-url or set SKYLARKPOST_LOG_URL"
            raise CommandFailed(ExitCode.USAGE, message)
        async with aiohttp.ClientSession() as http:
            log = LogClient(
                base_url=settings.log_url,
                session_source=lambda: http,
                answer_timeout=ANSWER_TIMEOUT_S,
            )
            session = ConfigSession(
                log=log,
                author=settings.author or getpass.getuser(),
                reason=getattr(self, "reason", ""),
            )
            try:
                loaded = await session.load()
                if isinstance(loaded, LogUnavailable):
                    message = f"the log did not answer: {loaded.detail}"
                    raise CommandFailed(ExitCode.UNAVAILABLE, message)
                yield session
            finally:
                await log.close()


@dataclass(kw_only=True)
class ChangeOptions(LogOptions):
    """Options of commands that publish changes."""

    author: Annotated[
        str | None,
        cappa.Arg(long=True, help="Who makes the change; the user's name by default."),
    ] = None
    reason: Annotated[str, cappa.Arg(long=True, help="Why, for the audit trail.")] = ""


@dataclass(kw_only=True)
class InstanceOptions(OutputOptions):
    """Options of commands that ask the instances."""

    instances: Annotated[
        str | None,
        cappa.Arg(long=True, help="http://IP:PORT of each instance, with commas."),
    ] = None

    def urls(self):
        """Return the instances' URLs; raise `CommandFailed` if there are none."""
        given = self.instances.split(",") if self.instances else []
        urls = load_settings_or_fail({"instances": given}).instances
        if not urls:
            message = "no instances: give --instances or set SKYLARKPOST_INSTANCES"
            raise CommandFailed(ExitCode.USAGE, message)
        return urls


def load_settings_or_fail(options):
    """Return the tool's settings; raise `CommandFailed` with all faults."""
    settings = load_tool_settings(options=options)
    if isinstance(settings, list):
        raise CommandFailed(ExitCode.USAGE, *settings)
    return settings
