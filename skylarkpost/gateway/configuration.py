"""Controller that follows the operators' configuration."""

import logging

from skylarkpost.controllers import GATEWAY, Controller, register_controller
from skylarkpost.eventlog import log_event
from skylarkpost.log.keyed_follower import KeyedFollower
from skylarkpost.log.positions import describe_position
from skylarkpost.platform import (
    OPERATOR_TOPIC,
    Malformed,
    decode_adapter_version,
    decode_configuration,
    decode_evacuation,
    evacuated_data_centre,
)
from skylarkpost.routing import CallerBounds, ConfigurationState

__all__ = ["GatewayConfigurationController"]

logger = logging.getLogger(__name__)

# The store does not wake waiting reads while its history is being trimmed, or while
# it is slow. So a read may wait no longer than a change may take to apply.
READ_WAIT_RATIO = 1.0
FIRST_VERSION = 1


@register_controller("config", order=5, front_ends=(GATEWAY,))
class GatewayConfigurationController(Controller):
    """Keeps the newest configuration and the newest versions of adapters.

    Parameters
    ----------
    services : Services
        Services shared by the instance's controllers.

    Attributes
    ----------
    state : ConfigurationState
        Routes, services and teams in force.
    adapter_versions : dict of (str, str) to tuple of (int, float)
        Newest version by base model and adapter, and when it was received.
    evacuated : dict of str to float
        When the evacuation of each data centre was received, in seconds.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.state = ConfigurationState()
        self.adapter_versions = {}
        self.evacuated = {}
        self.follower = KeyedFollower(
            store=services.store,
            topic=OPERATOR_TOPIC,
            clock=services.clock,
            random=services.random,
            on_record=self._apply_record,
            wait=lambda: READ_WAIT_RATIO * services.settings.bounds.config_ms / 1000.0,
            peers=services.query_peers,
            relay=services.query_reader,
            bound=lambda: services.settings.bounds.config_ms / 1000.0,
            recall=services.query_all_peers,
        )
        services.followers[OPERATOR_TOPIC] = self.follower

    @property
    def store(self):
        """Lookups by team for the ticket client; this controller provides them."""
        return self

    def team(self, name):
        """Return None: all teams have the same weight on engines."""
        return None

    @property
    def bounds(self):
        """Limits on what callers may send."""
        known = self.state.configuration
        return CallerBounds() if known is None else known.bounds

    def adapter_version(self, model, adapter):
        """Return the active version of an adapter.

        Parameters
        ----------
        model, adapter : str
            The base model and the adapter.

        Returns
        -------
        int
        """
        known = self.adapter_versions.get((model, adapter))
        return FIRST_VERSION if known is None else known[0]

    async def start(self):
        """Start following the topic."""
        self.follower.start()

    async def stop(self):
        """Stop following the topic."""
        await self.follower.stop()

    def is_ready(self):
        """Return whether a configuration is known that the others know as well."""
        return self.state.table is not None and self.follower.synced.is_set()

    def degraded(self):
        """Return a description of the fault if the store can't be read."""
        if self.follower.available:
            return []
        return ["The operators' topic of the store cannot be read."]

    def status(self):
        """Return the version in force and the seconds since each evacuation."""
        now = self.services.clock()
        ages = {name: now - since for name, since in sorted(self.evacuated.items())}
        return {"version": self.state.version, "evacuated": ages}

    def _apply_record(self, record, now):
        """Apply a record; return False if a newer value is in force."""
        data_centre = evacuated_data_centre(record.key)
        if data_centre is not None:
            return self._apply_evacuation(record, data_centre, now)
        if not record.value:
            return True
        if record.key == "config":
            return self._apply_configuration(record, now)
        if record.key.startswith("version/"):
            return self._apply_version(record, now)
        return True

    def _apply_configuration(self, record, now):
        decoded = decode_configuration(record.value)
        if isinstance(decoded, Malformed):
            self._log_malformed(record, decoded)
            return False
        before = self.state.configuration
        applied = self.state.apply(decoded, record.value, now)
        if applied:
            _log_limits(before, decoded)
        log_event(
            logger,
            "configuration-applied" if applied else "configuration-older",
            version=decoded.version,
            in_force=self.state.version,
            offset=describe_position(record.offset),
            routes=len(decoded.routes),
        )
        return applied

    def _apply_version(self, record, now):
        decoded = decode_adapter_version(record.value)
        if isinstance(decoded, Malformed):
            self._log_malformed(record, decoded)
            return False
        model, adapter, version = decoded
        if version <= self.adapter_version(model, adapter):
            return False
        self.adapter_versions[model, adapter] = (version, now)
        log_event(
            logger,
            "adapter-version",
            model=model,
            adapter=adapter,
            version=version,
            offset=describe_position(record.offset),
        )
        return True

    def _apply_evacuation(self, record, data_centre, now):
        fault = data_centre if isinstance(data_centre, Malformed) else None
        if fault is None and record.value:
            decoded = decode_evacuation(record.value)
            fault = decoded if isinstance(decoded, Malformed) else None
        if fault is not None:
            self._log_malformed(record, fault)
            return False
        if bool(record.value) is (data_centre in self.evacuated):
            return True
        if record.value:
            self.evacuated[data_centre] = now
        else:
            del self.evacuated[data_centre]
        directory = self.services.controllers["directory"].targets
        directory.set_evacuated(frozenset(self.evacuated))
        log_event(
            logger,
            "evacuation-began" if record.value else "evacuation-ended",
            data_centre=data_centre,
            evacuated=len(self.evacuated),
            targets=len(directory.in_data_centre(data_centre, now)),
            offset=describe_position(record.offset),
        )
        return True

    def _log_malformed(self, record, malformed):
        log_event(
            logger,
            "entry-malformed",
            level=logging.WARNING,
            key=record.key,
            offset=describe_position(record.offset),
            detail=malformed.detail,
        )


def _log_limits(before, after):
    for name, team in after.teams.items():
        known = None if before is None else before.teams.get(name)
        if known is None or (known.rate, known.burst) != (team.rate, team.burst):
            log_event(
                logger,
                "team-limit",
                team=name,
                rate=team.rate,
                burst=team.burst,
                version=after.version,
            )
