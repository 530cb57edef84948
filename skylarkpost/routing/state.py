"""The current configuration; older versions never replace it."""

from skylarkpost.routing.table import RouteTable

__all__ = ["ConfigurationState"]


class ConfigurationState:
    """The newest configuration that this instance has received.

    Attributes
    ----------
    table : RouteTable or None
        Lookups in the current version; None before the first one.
    payload : bytes
        Encoded version as received, for instances that can't read the store.
    changed_at : float or None
        When the version was applied, in seconds.
    """

    def __init__(self):
        self.table = None
        self.payload = b""
        self.changed_at = None

    @property
    def configuration(self):
        """The current configuration, or None before the first version."""
        return None if self.table is None else self.table.configuration

    @property
    def version(self):
        """Number of the current version; 0 before the first."""
        return 0 if self.table is None else self.table.configuration.version

    def apply(self, configuration, payload, now):
        """Apply a configuration if it is newer than the current one.

        Parameters
        ----------
        configuration : Configuration
            The configuration.
        payload : bytes
            Payload that it was decoded from.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            Whether it was newer and was applied.
        """
        if configuration.version <= self.version:
            return False
        self.table = RouteTable(configuration=configuration)
        self.payload = payload
        self.changed_at = now
        return True
