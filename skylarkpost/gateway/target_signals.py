"""Controller for what targets say about themselves in any of their answers."""

import asyncio
import logging

import msgspec

from skylarkpost.controllers import GATEWAY, Controller, register_controller
from skylarkpost.decoding import Malformed, decode_msgpack
from skylarkpost.eventlog import log_event
from skylarkpost.placement.target_pauses import TargetPauses
from skylarkpost.runtime import BackgroundTask

__all__ = ["TargetSignalController"]

logger = logging.getLogger(__name__)

TOPIC = "leaving-targets"
PUBLISH_INTERVAL_S = 0.4
# What one instance tells the others; beyond it they hear from the targets themselves.
MAX_TOLD = 256


@register_controller("target-signals", order=41, front_ends=(GATEWAY,))
class TargetSignalController(Controller):
    """Acts on targets that leave, and on targets that ask for a pause.

    A leaving target gets no new request from any instance, whether the store says so
    or not. A pause concerns only the instance that was turned away.

    Parameters
    ----------
    services : Services
        Services shared by the instance's controllers.

    Attributes
    ----------
    pauses : TargetPauses
        Pauses that targets have asked this instance for.
    heard : dict of str to float
        When this instance heard that a run of a target leaves, by boot.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.pauses = TargetPauses()
        self.heard = {}
        self.has_overflowed = False
        self.background = BackgroundTask(name="target-signals")

    async def start(self):
        """Start exchanging what is known of leaving targets."""
        self.membership.subscribe(TOPIC, self.receive_digest, relayed=True)
        self.background.start(self._run())

    async def stop(self):
        """Stop exchanging."""
        await self.background.stop()

    def status(self):
        """Return the leaving targets and the seconds left of each pause, by boot."""
        now = self.services.clock()
        pauses = {boot: self.pauses.left(boot, now) for boot in self.pauses.until}
        return {
            "leaving": sorted(self.directory.leaving_runs),
            "paused": {boot: left for boot, left in pauses.items() if left},
        }

    @property
    def membership(self):
        """The membership controller."""
        return self.services.controllers["membership"]

    @property
    def directory(self):
        """The directory of targets."""
        return self.services.controllers["directory"].targets

    def note_answer(self, target, boot, metadata, now):
        """Record what an answer says, whatever it answers.

        Parameters
        ----------
        target, boot : str
            The target and its boot.
        metadata : AnswerMetadata
            The answer's metadata.
        now : float
            The present time, in seconds.
        """
        warm_ups = self.services.controllers["warm-ups"]
        warm_ups.note_answer(target, boot, metadata.warm_up_left, now)
        if metadata.is_leaving and self.directory.note_leaving(boot):
            self.heard[boot] = now
            log_event(logger, "target-leaving", target=target, boot=boot, by=None)
        if metadata.pause is None:
            return
        seconds = self.pauses.note_refusal(
            boot, metadata.pause, now, wall_now=self.services.wall_clock()
        )
        if seconds is not None:
            log_event(
                logger, "target-paused", target=target, boot=boot, seconds=seconds
            )

    def wants_nothing(self, ticket, now):
        """Return why a run of a target gets no request now.

        Parameters
        ----------
        ticket : Ticket
            Names the target, its boot and its address.
        now : float
            The present time, in seconds.

        Returns
        -------
        str or None
            None if it takes requests.
        """
        if ticket.boot in self.directory.leaving_runs:
            return "the target leaves"
        if self.pauses.left(ticket.boot, now):
            return "the target has asked for a pause"
        entry = self.directory.find(ticket.target, now)
        # A steward that hears less may have granted the ticket. One that hears more
        # knows the next run of a restarted target before it is announced here.
        if entry is None or entry.address != ticket.address:
            return "the target leaves or has gone"
        if entry.data_centre in self.directory.evacuated:
            return "the data centre is evacuated"
        return None

    def receive_digest(self, member, payload, now):
        """Take note of targets that another instance has heard leave.

        Parameters
        ----------
        member : skylarkpost.membership.Member
            The other instance.
        payload : bytes
            Boots of the targets, encoded.
        now : float
            The present time, in seconds.
        """
        boots = decode_msgpack(payload, list[str])
        if isinstance(boots, Malformed):
            self.services.metrics.count_event("malformed-digest")
            return
        for boot in boots:
            if self.directory.note_leaving(boot):
                target = boot.rpartition("/")[0]
                log_event(
                    logger,
                    "target-leaving",
                    target=target,
                    boot=boot,
                    by=member.instance,
                )

    async def _run(self):
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_S)
            self.publish()

    def publish(self):
        """Tell the other instances which targets this one has heard leave."""
        self.heard = {
            boot: at for boot, at in self.heard.items() if self.directory.has_run(boot)
        }
        told = sorted(self.heard, key=self.heard.get)[-MAX_TOLD:]
        if len(self.heard) > MAX_TOLD and not self.has_overflowed:
            log_event(logger, "leaving-targets-dropped", bound=MAX_TOLD)
        self.has_overflowed = len(self.heard) > MAX_TOLD
        self.membership.publish(TOPIC, msgspec.msgpack.encode(told))
