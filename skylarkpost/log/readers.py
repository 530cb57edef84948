"""Chooses the instances that read a topic of the store for the others."""

from typing import NamedTuple

from skylarkpost.rendezvous import choose_members

__all__ = ["READERS_PER_DATA_CENTRE", "TopicReaders"]

# One may fail without anybody else having to read. A data centre that is cut off
# has readers of its own.
READERS_PER_DATA_CENTRE = 2
# A reader that did not answer is left out until heartbeats tell what became of it.
EXCLUSION_S = 2.0


class Reader(NamedTuple):
    """An instance that reads a topic.

    Attributes
    ----------
    instance : str
        Its id.
    address : str
        Where it answers other instances.
    """

    instance: str
    address: str


class TopicReaders:
    """Decides from which instance one learns of a topic.

    All instances of a data centre choose the same readers without a message.
    Each topic has its own, so that the work is spread.

    Parameters
    ----------
    instance, data_centre : str
        This instance.

    Notes
    -----
    Load pattern: calls of the store are limited and charged for all instances
    together, so that reads by each of many instances leave little for claims.
    """

    def __init__(self, *, instance, data_centre):
        self.instance = instance
        self.data_centre = data_centre
        self.excluded_until = {}

    def find_reader(self, topic, members, now):
        """Return the instance to ask about a topic.

        Parameters
        ----------
        topic : str
            The topic.
        members : iterable of skylarkpost.membership.Member
            The other instances that are heard.
        now : float
            The present time, in seconds.

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
        """Leave a reader out for a while.

        Parameters
        ----------
        instance : str
            The reader that did not answer, or knows too little itself.
        now : float
            The present time, in seconds.
        """
        self.excluded_until[instance] = now + EXCLUSION_S
