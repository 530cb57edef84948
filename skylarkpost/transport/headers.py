"""Hop-by-hop headers (RFC 9110, section 7.6.1)."""

__all__ = ["strip_hop_by_hop"]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)


def strip_hop_by_hop(headers):
    """Return the headers that are forwarded to the next hop.

    Parameters
    ----------
    headers : list of (str, str)
        As received; names in lower case.

    Returns
    -------
    list of (str, str)
        Without hop-by-hop headers, including those that the ``Connection``
        header names.
    """
    dropped = set(HOP_BY_HOP)
    for name, value in headers:
        if name == "connection":
            dropped.update(each.strip().lower() for each in value.split(","))
    return [(name, value) for name, value in headers if name not in dropped]
