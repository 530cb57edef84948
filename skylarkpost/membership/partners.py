"""Selects the instances that heartbeats are sent to, and the interval."""

from skylarkpost.rendezvous import choose_members

__all__ = ["Partners"]

HEARTBEAT_INTERVAL_S = 0.5
# Caps on the total heartbeat rate; with many partners the interval grows.
LOCAL_HEARTBEATS_PER_S = 10.0
REMOTE_HEARTBEATS_PER_S = 8.0
PARTNERS_PER_DATA_CENTRE = 2
PROBE_ROTATION_S = 10.0


class Partners:
    """Heartbeat partners: all local instances, and a few of each other data centre.

    Parameters
    ----------
    instance, data_centre : str
        The instance that sends the heartbeats.

    Attributes
    ----------
    within, between : list of PeerRecord
        Partners in this and in the other data centres.
    local_interval, remote_interval : float
        Seconds between two heartbeats to the same partner.
    """

    def __init__(self, *, instance, data_centre):
        self.instance = instance
        self.data_centre = data_centre
        self.local = []
        self.remote = []
        self.local_interval = HEARTBEAT_INTERVAL_S
        self.remote_interval = HEARTBEAT_INTERVAL_S

    def refresh(self, records, *, now):
        """Select the partners again.

        Parameters
        ----------
        records : iterable of PeerRecord
            All other instances.
        now : float
            Current time, in seconds.
        """
        by_data_centre = {}
        for record in records:
            by_data_centre.setdefault(record.data_centre, []).append(record)
        self.local = by_data_centre.pop(self.data_centre, [])
        before = self.remote
        self.remote = []
        for others in by_data_centre.values():
            self.remote += self._choose(others, now)
        chosen = {record.instance for record in self.remote}
        for record in before:
            if record.instance not in chosen:
                record.reset_liveness()
        self.local_interval = _interval(self.local, LOCAL_HEARTBEATS_PER_S)
        self.remote_interval = _interval(self.remote, REMOTE_HEARTBEATS_PER_S)

    def due(self, *, now):
        """Return the partners whose next heartbeat is due.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of PeerRecord
        """
        return [
            record
            for record in (*self.local, *self.remote)
            if record.awaited is None and record.next_beat_at <= now
        ]

    def interval(self, record):
        """Return the heartbeat interval of an instance.

        Parameters
        ----------
        record : PeerRecord
            The instance.

        Returns
        -------
        float
            Seconds.
        """
        if record.data_centre == self.data_centre:
            return self.local_interval
        return self.remote_interval

    def _choose(self, records, now):
        by_instance = {record.instance: record for record in records}
        silent = {r.instance for r in records if r.is_unresponsive and r.missed}
        answering = by_instance.keys() - silent
        chosen = choose_members(self.instance, answering, PARTNERS_PER_DATA_CENTRE)
        # Probe silent instances in rotation, so that each one can recover.
        rotation = str(int(now / PROBE_ROTATION_S))
        chosen += choose_members(
            f"{self.instance}\0{rotation}", silent, PARTNERS_PER_DATA_CENTRE
        )
        return [by_instance[instance] for instance in chosen]


def _interval(partners, heartbeats_per_s):
    return max(HEARTBEAT_INTERVAL_S, len(partners) / heartbeats_per_s)
