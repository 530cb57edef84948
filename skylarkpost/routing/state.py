"""The configuration in force; it never steps back."""

from skylarkpost.routing.table import RouteTable

__all__ = ["ConfigurationState"]


class ConfigurationState:
    """The newest version that this instance has learned of.

    Attributes
    ----------
    table : RouteTable or None
        Lookups; None before the first version.
    payload : bytes
        The version as it was received, for instances that can't read the store.
    changed_at : float or None
        When the version came, in seconds.
    """

    def __init__(self):
        self.table = None
        self.payload = b""
        self.changed_at = None

    @property
    def configuration(self):
        """The version in force, or None before the first."""
        return None if self.table is None else self.table.configuration

    @property
    def version(self):
        """Number of the version in force; 0 before the first."""
        return 0 if self.table is None else self.table.configuration.version

    def apply(self, configuration, payload, now):
        """Put a version in force, if it is newer.

        Parameters
        ----------
        configuration : Configuration
            The version.
        payload : bytes
            The bytes that it was decoded from.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
            Whether it was newer.
        """
        if configuration.version <= self.version:
            return False
        self.table = RouteTable(configuration=configuration)
        self.payload = payload
        self.changed_at = now
        return True
