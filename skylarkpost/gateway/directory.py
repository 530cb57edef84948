"""Controller that follows the announcements of targets."""

import logging

from skylarkpost.controllers import GATEWAY, Controller, register_controller
from skylarkpost.discovery import TargetDirectory
from skylarkpost.eventlog import log_event
from skylarkpost.log.keyed_follower import KeyedFollower
from skylarkpost.log.positions import describe_position
from skylarkpost.platform import TARGETS_TOPIC, Malformed, decode_target

__all__ = ["DirectoryController"]

logger = logging.getLogger(__name__)

# A read that the store fails to wake delays the update about a draining target. Half
# of the bound leaves time for the answer; normally no read waits that long.
READ_WAIT_RATIO = 0.5
# Each target writes about once a second. A pause between reads batches several
# announcements into one call; a fraction of the bound leaves time for other delays.
READ_PAUSE_RATIO = 0.25
# Entries that expired during an outage are back within two seconds.
EXPIRY_GRACE_S = 2.0
# The store removes an announcement after three heartbeats without a renewal; one more
# for its own delay after a restore.
SILENT_HEARTBEATS = 4


@register_controller("directory", order=6, front_ends=(GATEWAY,))
class DirectoryController(Controller):
    """Keeps the directory of usable targets.

    Parameters
    ----------
    services : Services
        Services shared by the instance's controllers.

    Attributes
    ----------
    targets : TargetDirectory
        Targets by id.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        heartbeat = services.settings.bounds.heartbeat_ms / 1000.0
        self.targets = TargetDirectory(
            expiry_grace=EXPIRY_GRACE_S, silence=SILENT_HEARTBEATS * heartbeat
        )
        self.follower = KeyedFollower(
            store=services.store,
            topic=TARGETS_TOPIC,
            clock=services.clock,
            random=services.random,
            on_record=self._apply_record,
            wait=lambda: READ_WAIT_RATIO * services.settings.bounds.drain_ms / 1000.0,
            pause=self._pause,
            peers=services.query_peers,
            relay=services.query_reader,
            bound=lambda: services.settings.bounds.drain_ms / 1000.0,
            on_restore=lambda era, known_at, now: self.targets.note_restore(now),
            on_lost=self._note_lost,
        )
        services.followers[TARGETS_TOPIC] = self.follower

    def _pause(self):
        return READ_PAUSE_RATIO * self.services.settings.bounds.drain_ms / 1000.0

    async def start(self):
        """Start following the topic."""
        self.follower.start()

    async def stop(self):
        """Stop following the topic."""
        await self.follower.stop()

    def is_ready(self):
        """Return whether the directory has been read."""
        return self.follower.synced.is_set()

    def of_service(self, service, now):
        """Return the targets of a service that may receive requests.

        Parameters
        ----------
        service : str
            The service.
        now : float
            The present time, in seconds.

        Returns
        -------
        tuple of TargetEntry
            See `TargetDirectory.of_service`.
        """
        return self.targets.of_service(service, now)

    def usable_of_service(self, service, now):
        """Return the usable targets; see `TargetDirectory.usable_of_service`."""
        return self.targets.usable_of_service(service, now)

    def status(self):
        """Return the names of the announced targets."""
        return {"targets": sorted(self.targets.entries)}

    def _note_lost(self, record, now):
        self.targets.lose(record.key, now)
        log_event(logger, "target-lost-in-restore", target=record.key)

    def _apply_record(self, record, now):
        """Apply a record; return False if more is known of the target."""
        if not record.value:
            outage = now - self.follower.reconnected_at < EXPIRY_GRACE_S
            outage = outage or not self.follower.available
            self.targets.drop(record.key, now, after_outage=outage)
            log_event(logger, "target-gone", target=record.key, after_outage=outage)
            return True
        decoded = decode_target(record.key, record.value)
        if isinstance(decoded, Malformed):
            log_event(
                logger,
                "entry-malformed",
                level=logging.WARNING,
                key=record.key,
                offset=describe_position(record.offset),
                detail=decoded.detail,
            )
            return True
        if self.targets.is_outdated(decoded, now):
            log_event(
                logger,
                "target-announcement-older",
                target=decoded.name,
                state=decoded.state,
                boot=decoded.boot,
                offset=describe_position(record.offset),
            )
            return False
        known = self.targets.entries.get(decoded.name)
        self.services.controllers["warm-ups"].note_entry(decoded, now)
        self.targets.put(decoded, now)
        self.services.controllers["stream-versions"].note_announced(decoded, now)
        is_new = known is None or known.boot != decoded.boot
        if is_new or known.state is not decoded.state:
            log_event(
                logger,
                "target-changed",
                target=decoded.name,
                state=decoded.state,
                boot=decoded.boot,
                address=decoded.address,
                software=decoded.software_version,
                offset=describe_position(record.offset),
            )
        return True
