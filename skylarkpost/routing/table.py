"""Lookup of routes by host and path, and of teams by API key."""

import hashlib

__all__ = ["RouteTable", "key_digest"]


def key_digest(key):
    """Return the digest of an API key.

    Parameters
    ----------
    key : bytes
        Key as sent by the caller.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(key).hexdigest()


class RouteTable:
    """Lookups in a configuration.

    Parameters
    ----------
    configuration : Configuration
        The configuration.

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
        """Return the route with the longest matching path prefix.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header.
        path : str
            Path of the request, with or without a query.

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
        """Return the team that owns an API key.

        Parameters
        ----------
        digest : str
            Digest of the key, see `key_digest`.

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
            Path, with or without a query.

        Returns
        -------
        list of str
        """
        plain = path.partition("?")[0]
        ends = [index + 1 for index, char in enumerate(plain) if char == "/"]
        return [plain[:end] for end in reversed(ends)]


def host_name(host):
    """Return the host name in lower case, without the port.

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
