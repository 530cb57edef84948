"""Failure detector: derives member states from heartbeats and member lists."""

from skylarkpost.membership.commands import SendHeartbeat, StateChange
from skylarkpost.membership.digests import DigestExchange
from skylarkpost.membership.member import MemberState, is_newer_boot
from skylarkpost.membership.messages import (
    Heartbeat,
    HeartbeatReply,
    MemberInfo,
    RelayedDigest,
)
from skylarkpost.membership.partners import Partners
from skylarkpost.membership.record import RelayedList
from skylarkpost.membership.roster import Roster

__all__ = ["MembershipCore"]

HEARTBEAT_JITTER = 0.1
REMOVE_AFTER_S = 10.0
STATE_UPDATE_INTERVAL_S = 0.25
LIST_VERSION_BITS = 48


class MembershipCore:
    """Membership as one instance sees it; does no I/O.

    An answered heartbeat proves only that the peer was alive when the heartbeat
    was *sent*, since the answer may be late or out of order. Heartbeats received
    from a peer update its data but do not count as proof that it is alive.

    Each instance sends heartbeats to all others of its own data centre. To every
    other data centre it sends them to two members, whose member lists report the
    state of the rest.

    Parameters
    ----------
    instance, boot, address, data_centre : str
        This instance.
    random : random.Random
        Source of the heartbeat jitter.

    Attributes
    ----------
    roster : Roster
        The other instances.
    digests : DigestExchange
        Payloads that are piggybacked on heartbeats.
    partners : Partners
        The instances that heartbeats are sent to.
    member_list : tuple of MemberInfo
        The member list that is sent to other instances.
    list_version : int
        Version of `member_list`; increases with each change.
    leaving : bool
        Whether this instance is shutting down.
    """

    def __init__(self, *, instance, boot, address, data_centre, random):
        self.instance = instance
        self.boot = boot
        self.address = address
        self.data_centre = data_centre
        self.random = random
        self.digests = DigestExchange()
        self.roster = Roster(on_remove=self._on_removed)
        self.leaving = False
        self._superseded_by = set()
        # A random start, so that lists of two boots never share a version.
        self.list_version = 1 + random.getrandbits(LIST_VERSION_BITS)
        self.member_list = ()
        self.sequence = 0
        self.partners = Partners(instance=instance, data_centre=data_centre)
        self._listed = None
        self._changes = []
        self._received = []
        self._states_updated_at = -STATE_UPDATE_INTERVAL_S
        self._states_version = 0

    @property
    def superseded(self):
        """Whether another boot has replaced this one."""
        return bool(self._superseded_by)

    def tick(self, *, now):
        """Return the heartbeats that are due.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of SendHeartbeat
            Each must be followed by `handle_reply` or `handle_miss`.
        """
        is_changed = self.roster.version != self._states_version
        if is_changed or now >= self._states_updated_at + STATE_UPDATE_INTERVAL_S:
            self._remove_absent(now)
            self._update_states(now)
            self.partners.refresh(self.roster.records.values(), now=now)
            self._states_updated_at = now
            self._states_version = self.roster.version
        return [
            self._build_heartbeat(record, now) for record in self.partners.due(now=now)
        ]

    def handle_reply(self, command, reply, *, now):
        """Handle the answer to a heartbeat.

        Parameters
        ----------
        command : SendHeartbeat
            The heartbeat that was sent.
        reply : HeartbeatReply
            The answer.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            Whether it proves that the instance is alive; a late answer does not.
        """
        assert command.sent_at <= now, "answer received before its heartbeat was sent"
        if reply.superseded:
            self._superseded_by.add(command.instance)
        else:
            self._superseded_by.discard(command.instance)
        record = self._finish_heartbeat(command)
        if record is None:
            return False
        answering = self.roster.register(reply.responder, now=now)
        if answering is None or answering.instance != command.instance:
            self._note_miss(record, now)
            return False
        answering.note_alive(command.sent_at)
        if answering.boot == command.boot and not reply.incomplete:
            self.digests.acknowledge(answering.key, command.digest_version)
        # The list may announce the boots whose digests the reply relays.
        self._receive_list(answering, reply, now)
        newer, is_complete = self._receive_digests(answering, reply)
        for digest in newer:
            self._received.append(RelayedDigest(*answering.key, digest))
        if is_complete:
            self.digests.note_seen(answering.key, reply.digest_version)
        return True

    def handle_miss(self, command, *, now):
        """Handle a heartbeat that was not answered in time.

        Parameters
        ----------
        command : SendHeartbeat
            The heartbeat that was sent.
        now : float
            Current time, in seconds.
        """
        record = self._finish_heartbeat(command)
        if record is not None:
            self._note_miss(record, now)

    def handle_heartbeat(self, heartbeat, *, now):
        """Answer a heartbeat of another instance.

        Parameters
        ----------
        heartbeat : Heartbeat
            The received heartbeat.
        now : float
            Current time, in seconds.

        Returns
        -------
        HeartbeatReply
            The answer.
        list of Digest
            Payloads that are newer than the stored ones.
        """
        sender = heartbeat.sender
        newer, is_complete, record = [], True, None
        if sender.instance == self.instance:
            replaced = is_newer_boot(self.boot, sender.boot)
            if not replaced:
                self._superseded_by.add(sender.instance)
        else:
            record = self.roster.register(sender, now=now)
            replaced = record is None and self.roster.is_superseded(sender)
            if record is not None:
                newer, is_complete = self._receive_digests(record, heartbeat)
                if heartbeat.seen_boot == self.boot:
                    self.digests.acknowledge(record.key, heartbeat.seen_version)
        known = heartbeat.known_list == self.list_version
        members = () if known else self.member_list
        reply = HeartbeatReply(
            self.own_info(),
            self.list_version,
            members,
            replaced,
            *self._reply_digests(record),
            not is_complete,
        )
        return reply, newer

    def pop_digests(self):
        """Return the digests received in replies or by relay since the last call.

        Returns
        -------
        list of RelayedDigest
            Newer than the stored ones, in order of arrival.
        """
        received, self._received = self._received, []
        return received

    def apply_instance_list(self, entries, *, now):
        """Apply the platform's list of instances.

        Parameters
        ----------
        entries : iterable of ListedInstance
            All listed instances, with or without this one.
        now : float
            Current time, in seconds.
        """
        self._listed = {entry.id for entry in entries}
        for entry in entries:
            if entry.id != self.instance:
                self.roster.merge_listed(
                    MemberInfo(entry.id, "", entry.address, entry.data_centre),
                    now=now,
                )

    def note_list_unavailable(self):
        """Record that the platform's list is currently unavailable."""
        self._listed = None

    def leave(self, *, now):
        """Start leaving the fleet.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of SendHeartbeat
            One for each other instance; they announce the departure.
        """
        self.leaving = True
        return [
            self._build_heartbeat(record, now)
            for record in self.roster.records.values()
        ]

    def own_info(self):
        """Return the description of this instance that is sent to others.

        Returns
        -------
        MemberInfo
        """
        return MemberInfo(
            self.instance, self.boot, self.address, self.data_centre, self.leaving
        )

    def members(self):
        """Return all other instances that are not known to be dead.

        Returns
        -------
        list of Member
        """
        records = self.roster.records.values()
        return [record.as_member(*self._state(record)) for record in records]

    def member(self, instance):
        """Return one other instance.

        Parameters
        ----------
        instance : str
            Id of a known instance.

        Returns
        -------
        Member
        """
        record = self.roster.records[instance]
        return record.as_member(*self._state(record))

    def pop_changes(self):
        """Return the state changes since the last call.

        Returns
        -------
        list of StateChange
            In order.
        """
        changes, self._changes = self._changes, []
        return changes

    def _build_heartbeat(self, record, now):
        jitter = self.random.uniform(1.0 - HEARTBEAT_JITTER, 1.0 + HEARTBEAT_JITTER)
        record.next_beat_at = now + self.partners.interval(record) * jitter
        self.sequence += 1
        record.awaited = self.sequence
        known = self.roster.list_from(record)
        digests, relayed = self._pending_digests(record)
        heartbeat = Heartbeat(
            self.own_info(),
            digests,
            0 if known is None else known.version,
            relayed,
            self.digests.seen_versions.get(record.key, 0),
            record.boot,
        )
        return SendHeartbeat(
            instance=record.instance,
            boot=record.boot,
            address=record.address,
            sequence=self.sequence,
            sent_at=now,
            digest_version=self.digests.version,
            heartbeat=heartbeat,
            on_new_connection=record.needs_probe,
        )

    def _reply_digests(self, record):
        """Return what a reply says of the own and the relayed digests.

        Within a data centre both ends of a heartbeat exchange digests, which halves
        the heartbeats that are needed. Digests reach other data centres through the
        partners chosen there only, whose choice bounds how often they are relayed.
        """
        if record is None or record.data_centre != self.data_centre:
            return (), (), 0
        return *self._pending_digests(record), self.digests.version

    def _pending_digests(self, record):
        """Return the own and the relayed digests that an instance lacks."""
        if record is None:
            return (), ()
        is_neighbour = record.data_centre == self.data_centre
        relayed = self.digests.pending_relays(record.key) if is_neighbour else ()
        return self.digests.pending(record.key), relayed

    def _receive_digests(self, record, message):
        """Store the digests of a message.

        Returns
        -------
        list of Digest
            The newer ones of the sender.
        bool
            Whether all relayed ones were stored or are outdated.
        """
        newer = self.digests.receive(record.key, message.digests)
        if record.data_centre != self.data_centre:
            self.digests.relay(record.key, newer)
        return newer, self._receive_relayed(message.relayed)

    def _receive_relayed(self, relayed):
        is_complete = True
        for each in relayed:
            origin = self.roster.records.get(each.instance)
            if origin is None or is_newer_boot(each.boot, origin.boot):
                # A member list or its own heartbeat will announce the new boot.
                is_complete = False
            elif origin.boot == each.boot and self.digests.receive(
                origin.key, [each.digest]
            ):
                self._received.append(each)
        return is_complete

    def _finish_heartbeat(self, command):
        """Clear and return the record that awaits this heartbeat's answer, if any."""
        record = self.roster.records.get(command.instance)
        if record is None or record.awaited != command.sequence:
            return None
        record.awaited = None
        return record

    def _note_miss(self, record, now):
        record.missed += 1
        # The timeout has passed already, so a silent instance is recognised before
        # the interval, which grows with the fleet, has passed several times.
        if not record.is_unresponsive:
            record.next_beat_at = now

    def _receive_list(self, record, reply, now):
        known = self.roster.list_from(record)
        if known is not None and known.version == reply.list_version:
            return
        relayed = RelayedList(version=reply.list_version, members=reply.members)
        self.roster.store_list(record, relayed)
        for info in reply.members:
            if info.instance != self.instance and not info.silent:
                self.roster.merge_listed(info, now=now)

    def _update_states(self, now):
        """Record state changes, and rebuild the member list for peers."""
        infos = []
        for record in self.roster.records.values():
            state, heard_at = self._state(record)
            self._note_state(record, state, heard_at, now)
            if record.boot:
                infos.append(record.as_info(silent=state is MemberState.SILENT))
        members = tuple(infos)
        if members != self.member_list:
            self.member_list = members
            self.list_version += 1

    def _note_state(self, record, state, heard_at, now):
        if state is not MemberState.SILENT:
            record.silent_since = None
        elif record.silent_since is None:
            record.silent_since = now
        if state is not record.reported_state and heard_at is not None:
            member = record.as_member(state, heard_at)
            self._changes.append(StateChange(member, record.reported_state))
            record.reported_state = state

    def _state(self, record):
        """Return an instance's state and when it was last known to be alive."""
        heard_at = record.heard_at
        silent = record.is_unresponsive
        if record.data_centre != self.data_centre:
            relayed_at = self.roster.relayed_seen_at(record)
            if relayed_at is not None and (silent or relayed_at > heard_at):
                heard_at, silent = relayed_at, False
        if silent:
            return MemberState.SILENT, heard_at
        if record.leaving:
            return MemberState.LEAVING, heard_at
        return MemberState.LIVE, heard_at

    def _on_removed(self, member):
        self.digests.forget(member)
        self._superseded_by.discard(member[0])

    def _remove_absent(self, now):
        for record in list(self.roster.records.values()):
            since = record.silent_since
            if since is None or now - since <= REMOVE_AFTER_S:
                continue
            unlisted = self._listed is not None and record.instance not in self._listed
            if unlisted or record.leaving:
                self.roster.remove(record)
