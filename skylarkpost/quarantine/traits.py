"""Traits of a request that crashes of its targets can be attributed to.

A trait is something that other requests may have too. Each kind of trait is a function
in a registry.
"""

from skylarkpost.quarantine.fingerprint import fingerprint_request

__all__ = [
    "begun_traits",
    "is_begun_trait",
    "is_request_trait",
    "register_trait",
    "shared_part_traits",
    "traits_of",
]

PART_KIND = "part"
REQUEST_KIND = "request"
BEGUN_PREFIX = "begun/"

_readers = {}


def register_trait(name):
    """Register a function that returns the traits of one kind.

    Parameters
    ----------
    name : str
        Kind of the trait; the first part of its id.

    Returns
    -------
    callable
        The decorator. The function takes an exchange and returns an iterable of
        values.
    """

    def decorate(function):
        assert name not in _readers, f"trait {name} is registered twice"
        _readers[name] = function
        return function

    return decorate


def traits_of(exchange):
    """Return all traits of a request.

    Parameters
    ----------
    exchange : skylarkpost.gateway.exchange.GatewayExchange
        The request.

    Returns
    -------
    frozenset of str
        Each as ``KIND:VALUE``.
    """
    return frozenset(
        f"{name}:{value}"
        for name, function in _readers.items()
        for value in function(exchange)
    )


def begun_traits(traits):
    """Return what crashes after the first event of an answer are attributed to.

    Parameters
    ----------
    traits : iterable of str
        Traits of the request.

    Returns
    -------
    frozenset of str
        They are apart from `traits`: most of what has begun on a target that crashes
        is sound, and an answer clears them only by its end.
    """
    return frozenset(BEGUN_PREFIX + trait for trait in traits)


def is_begun_trait(trait):
    """Return whether a trait is one of `begun_traits`."""
    return trait.startswith(BEGUN_PREFIX)


def is_request_trait(trait):
    """Return whether requests with a trait are the same but for their attempt."""
    return trait.removeprefix(BEGUN_PREFIX).startswith(f"{REQUEST_KIND}:")


def shared_part_traits(exchange):
    """Return the traits of the prompt parts of a request that others may share.

    Parameters
    ----------
    exchange : skylarkpost.gateway.exchange.GatewayExchange
        The request.

    Returns
    -------
    list of str
    """
    return [f"{PART_KIND}:{part_id}" for part_id in shared_prompt_parts(exchange)]


@register_trait(PART_KIND)
def shared_prompt_parts(exchange):
    """Return the prompt parts that other requests may share; the last is its own."""
    return [part.part_id for part in exchange.metadata.prompt_parts[:-1]]


@register_trait(REQUEST_KIND)
def whole_request(exchange):
    """Return a hash that the same request of the same team has again."""
    subject = f"{exchange.method} {exchange.path}?{exchange.query} {exchange.team}"
    return [fingerprint_request(subject=subject, content=None, body=exchange.body)]
