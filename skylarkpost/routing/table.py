"""Finds the route of a request and the team of a key."""

import hashlib

__all__ = ["RouteTable", "key_digest"]


def key_digest(key):
    """Return the digest by which a key is known.

    Parameters
    ----------
    key : bytes
        The key as the caller sent it.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(key).hexdigest()


class RouteTable:
    """Lookups in one version of the configuration.

    Parameters
    ----------
    configuration : Configuration
        The version.

    Examples
    --------
    >>> RouteTable.prefixes_of("/a/b/c?d=/e/")
    ['/a/b/', '/a/', '/']
    """

    def __init__(self, *, configuration):
        self.configuration = configuration
        self.hosts = {}
        for route in configuration.routes:
            self.hosts.setdefault(route.host, {})[route.path_prefix] = route
        self.teams_by_key = {
            digest: team
            for team in configuration.teams.values()
            for digest in team.key_digests
        }

    def find(self, host, path):
        """Return the route with the longest prefix that begins the path.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header.
        path : str
            Path of the request; a query may follow.

        Returns
        -------
        GatewayRoute or None
        """
        routes = self.hosts.get(host_name(host))
        if routes is None:
            return None
        for prefix in self.prefixes_of(path):
            if prefix in routes:
                return routes[prefix]
        return None

    def team(self, digest):
        """Return the team that holds a key.

        Parameters
        ----------
        digest : str
            Of the key.

        Returns
        -------
        GatewayTeam or None
        """
        return self.teams_by_key.get(digest)

    @staticmethod
    def prefixes_of(path):
        """Return the prefixes of a path that end with a slash, longest first.

        Parameters
        ----------
        path : str
            The path.

        Returns
        -------
        list of str
        """
        plain = path.partition("?")[0]
        ends = [index + 1 for index, char in enumerate(plain) if char == "/"]
        return [plain[:end] for end in reversed(ends)]


def host_name(host):
    """Return a host's name without its port, in lower case.

    Parameters
    ----------
    host : str
        Value of a ``Host`` header.

    Returns
    -------
    str
    """
    name, _, port = host.strip().lower().rpartition(":")
    if name and port.isdigit():
        return name
    return host.strip().lower()
