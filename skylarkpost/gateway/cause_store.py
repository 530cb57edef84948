"""Keeps the causes of crashes in the store, so that they outlast all instances."""

import logging

from skylarkpost.eventlog import log_event
from skylarkpost.log.keyed import KeyedRecord, StoreAppended
from skylarkpost.log.keyed_follower import KeyedFollower
from skylarkpost.log.positions import describe_position
from skylarkpost.quarantine.crash_news import StoredCrashes, decode, encode
from skylarkpost.rendezvous import choose_member

__all__ = ["CAUSES_TOPIC", "CauseStore"]

logger = logging.getLogger(__name__)

CAUSES_TOPIC = "keyed.skylarkpost-crash-causes"
# Changes are rare, and the other instances tell of them sooner.
READ_WAIT_S = 10.0
MAX_STORED_CAUSES = 64


class CauseStore:
    """Reads and writes the records of quarantined traits.

    Parameters
    ----------
    services : GatewayServices
        Services shared by the instance's controllers.
    evidence : CrashEvidence
        Receives what the records say.
    on_change : callable
        Called with ``now`` after a record has changed the evidence.

    Attributes
    ----------
    stored : dict of str to set of str
        Ids of the crashes in the store, by trait.
    lost : set of str
        Traits whose records a restored store lacks.
    """

    def __init__(self, *, services, evidence, on_change):
        self.services = services
        self.evidence = evidence
        self.on_change = on_change
        self.stored = {}
        self.lost = set()
        self.follower = KeyedFollower(
            store=services.store,
            topic=CAUSES_TOPIC,
            clock=services.clock,
            random=services.random,
            on_record=self._apply_record,
            wait=lambda: READ_WAIT_S,
            peers=services.query_peers,
            relay=services.query_reader,
            on_lost=self._note_lost,
        )
        services.followers[CAUSES_TOPIC] = self.follower

    async def update(self, quarantined, own_crashes, live, now):
        """Write quarantined traits, and delete records that have ended.

        Parameters
        ----------
        quarantined : iterable of str
            The quarantined traits.
        own_crashes : iterable of str
            Ids of the crashes that this instance saw. It writes the traits that are
            involved in one of them.
        live : set of str
            The live instances; one of them deletes a record.
        now : float
            The present time, in seconds.
        """
        records = [
            KeyedRecord(trait, self._value(trait, now))
            for trait in sorted(quarantined)
            if self._is_to_be_stored(trait, own_crashes, live)
        ]
        room = max(0, MAX_STORED_CAUSES - len(self.stored))
        if len(records) > room:
            log_event(
                logger,
                "crash-causes-full",
                level=logging.WARNING,
                not_stored=len(records) - room,
            )
            records = records[:room]
        records += [
            KeyedRecord(trait, b"")
            for trait in self.stored
            if trait not in self.evidence.crashes
            and choose_member(trait, live) == self.services.instance
        ]
        if not records:
            return
        answer = await self.services.store.append(CAUSES_TOPIC, records)
        log_event(
            logger,
            "crash-causes-stored",
            traits=",".join(record.key for record in records),
            outcome=type(answer).__name__,
        )
        if isinstance(answer, StoreAppended):
            await self.follower.catch_up()

    def _is_to_be_stored(self, trait, own_crashes, live):
        crashes = self.evidence.crashes[trait].keys()
        is_own = any(crash_id in crashes for crash_id in own_crashes)
        if trait in self.lost:
            # Whoever saw the crashes may have been restarted since.
            is_own = is_own or choose_member(trait, live) == self.services.instance
        return is_own and not crashes <= self.stored.get(trait, set())

    def _note_lost(self, record, now):
        self.stored.pop(record.key, None)
        self.lost.add(record.key)
        log_event(logger, "crash-cause-lost", trait=record.key)

    def _value(self, trait, now):
        wall_now = self.services.wall_clock()
        crashes = {
            crash_id: (
                wall_now - (now - each.crashed_at),
                wall_now - (now - each.sent_at),
            )
            for crash_id, each in self.evidence.crashes[trait].items()
        }
        return encode(StoredCrashes(crashes))

    def _apply_record(self, record, now):
        trait = record.key
        self.lost.discard(trait)
        if not record.value:
            self.stored.pop(trait, None)
            if trait in self.evidence.crashes:
                self.evidence.note_answered([trait], now)
                self.on_change(now)
            return
        stored = decode(record.value, StoredCrashes)
        if stored is None:
            log_event(
                logger,
                "entry-malformed",
                key=trait,
                offset=describe_position(record.offset),
            )
            return
        self.stored[trait] = set(stored.crashes)
        wall_now = self.services.wall_clock()
        for crash_id, (crashed_at, sent_at) in stored.crashes.items():
            crash_age = max(0.0, wall_now - crashed_at)
            sent_age = max(crash_age, wall_now - sent_at)
            self.evidence.add_crash(crash_id, {trait: now - sent_age}, now - crash_age)
        self.on_change(now)
