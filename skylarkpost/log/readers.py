"""Selection of the instances that read a topic of the store for the others."""

from typing import NamedTuple

from skylarkpost.rendezvous import choose_members

__all__ = ["READERS_PER_DATA_CENTRE", "TopicReaders"]

# One reader may fail without other instances having to read. Readers are chosen in
# each data centre, so one that is partitioned off still has its own.
READERS_PER_DATA_CENTRE = 2
# A reader that did not answer is excluded until heartbeats report its state.
EXCLUSION_S = 2.0


class Reader(NamedTuple):
    """An instance that reads a topic.

    Attributes
    ----------
    instance : str
        Id of the instance.
    address : str
        Address for requests from other instances.
    """

    instance: str
    address: str


class TopicReaders:
    """Selects the instance from which this one receives a topic.

    All instances of a data centre choose the same readers by rendezvous hashing,
    without messages. Each topic has its own readers, which spreads the load.

    Parameters
    ----------
    instance, data_centre : str
        Id and data centre of this instance.

    Notes
    -----
    Load pattern: the store limits and charges the calls of all instances together.
    If each of many instances read every topic, few calls would be left for claims.
    """

    def __init__(self, *, instance, data_centre):
        self.instance = instance
        self.data_centre = data_centre
        self.excluded_until = {}

    def find_reader(self, topic, members, now):
        """Return the instance to request a topic from.

        Parameters
        ----------
        topic : str
            The topic.
        members : iterable of skylarkpost.membership.Member
            The other instances whose heartbeats are received.
        now : float
            Current time, in seconds.

        Returns
        -------
        Reader or None
            None if this instance has to read the store itself.
        """
        neighbours = {
            member.instance: member
            for member in members
            if member.data_centre == self.data_centre
        }
        candidates = [*neighbours, self.instance]
        readers = choose_members(topic, candidates, READERS_PER_DATA_CENTRE)
        if self.instance in readers:
            return None
        for instance in choose_members(self.instance, readers, len(readers)):
            if self.excluded_until.get(instance, now) <= now:
                return Reader(instance, neighbours[instance].address)
        return None

    def note_failed(self, instance, now):
        """Exclude a reader for a while.

        Parameters
        ----------
        instance : str
            The reader that did not answer, or is not up to date itself.
        now : float
            Current time, in seconds.
        """
        self.excluded_until[instance] = now + EXCLUSION_S
