"""State of an engine and orders to it, for engines that count their orders."""

import enum
from typing import NamedTuple

from skylarkpost.discovery.entries import HeldModel

__all__ = ["EngineOrder", "EngineState", "OrderReply", "OrderVerdict"]


class EngineState(NamedTuple):
    """What an engine reports; some hundred milliseconds old.

    Attributes
    ----------
    models : tuple of HeldModel
        What it holds.
    is_busy : bool
        Whether a base model is being loaded or unloaded.
    orders_accepted : int
        Orders that this run has accepted.
    waiting, running : int
        Requests.
    cache_tokens_used : int
        Tokens of running requests.
    pending : dict of str to tuple of str
        Adapters on their way as ``ADAPTER@VERSION``, by base model.
    """

    models: tuple[HeldModel, ...]
    is_busy: bool
    orders_accepted: int
    waiting: int
    running: int
    cache_tokens_used: int
    pending: dict[str, tuple[str, ...]]


class EngineOrder(NamedTuple):
    """An order to load or unload a base model or an adapter.

    Attributes
    ----------
    is_load : bool
        Load, rather than unload.
    model : str
        The base model.
    adapter : str or None
        An adapter of it; None for the base model itself.
    version : int or None
        Version of the adapter; None for the newest.
    holder : str
        Instance that gives the order.
    fencing_number : int
        Number of its claim on the target.
    orders_accepted : int
        The order is refused unless the engine has accepted so many before.
    """

    is_load: bool
    model: str
    adapter: str | None
    version: int | None
    holder: str
    fencing_number: int
    orders_accepted: int


class OrderVerdict(enum.StrEnum):
    """What an engine says to an order."""

    HOLDS = "holds"
    STARTED = "started"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_TARGET = "other-target"
    REFUSED = "refused"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class OrderReply(NamedTuple):
    """The answer to an order.

    Attributes
    ----------
    verdict : OrderVerdict
        What the engine did.
    detail : str
        The answer's text, for logs.
    """

    verdict: OrderVerdict
    detail: str
