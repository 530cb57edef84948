"""The commands of the operators' tool."""

from skylarkpost.cli.commands.apply import ApplyCommand
from skylarkpost.cli.commands.audit import AuditCommand
from skylarkpost.cli.commands.check_settings import CheckSettingsCommand
from skylarkpost.cli.commands.explain import ExplainCommand
from skylarkpost.cli.commands.items import GetCommand, ListCommand
from skylarkpost.cli.commands.keys import KeyCommand
from skylarkpost.cli.commands.status import StatusCommand

__all__ = [
    "ApplyCommand",
    "AuditCommand",
    "CheckSettingsCommand",
    "ExplainCommand",
    "GetCommand",
    "KeyCommand",
    "ListCommand",
    "StatusCommand",
]
