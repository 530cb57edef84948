"""State of, and orders to, engines that count the orders they accept."""

import enum
from typing import NamedTuple

from skylarkpost.discovery.entries import LoadedModel

__all__ = ["EngineOrder", "EngineState", "OrderReply", "OrderVerdict"]


class EngineState(NamedTuple):
    """Reported state of an engine; a report is some hundred milliseconds old.

    Attributes
    ----------
    models : tuple of LoadedModel
        Models that are loaded.
    is_busy : bool
        Whether a base model is being loaded or unloaded.
    orders_accepted : int
        Number of orders that this run has accepted.
    waiting, running : int
        Numbers of requests.
    cache_tokens_used : int
        Cache tokens used by running requests.
    pending : dict of str to tuple of str
        Adapters being loaded, as ``ADAPTER@VERSION``, by base model.
    """

    models: tuple[LoadedModel, ...]
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
        Whether to load rather than unload.
    model : str
        The base model.
    adapter : str or None
        Adapter of the model; None for the base model itself.
    version : int or None
        Version of the adapter; None for the newest.
    holder : str
        Instance that holds the claim and sends the order.
    fencing_number : int
        Fencing number of its claim on the target.
    orders_accepted : int
        The engine refuses the order unless it has accepted exactly this many
        orders before.
    """

    is_load: bool
    model: str
    adapter: str | None
    version: int | None
    holder: str
    fencing_number: int
    orders_accepted: int


class OrderVerdict(enum.StrEnum):
    """Answer of an engine to an order."""

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
        Verdict of the engine.
    detail : str
        The answer's text, for logs.
    """

    verdict: OrderVerdict
    detail: str
