"""What goes into the steward of a target and what comes out of it."""

import math
from typing import NamedTuple

from skylarkpost.outcomes import Reason

__all__ = [
    "AdapterLoad",
    "Command",
    "FenceTarget",
    "GrantTicket",
    "HeldTicket",
    "LoadAdapter",
    "LoadReport",
    "RefuseTicket",
    "RequestLoadPermit",
    "ReturnLoadPermit",
    "TicketRequest",
    "UnloadAdapter",
]


class TicketRequest(NamedTuple):
    """A request that asks to be let to a target.

    Attributes
    ----------
    ticket_id : str
        Id of the request and of its attempt; unique.
    holder : str
        Instance that the request entered at.
    lora_name : str
        ``ADAPTER@VERSION``, or the name of the base model.
    team : str
        Team that is charged.
    weight : float
        Weight of the team in fair queueing.
    urgency : int
        From 0 to 9; 9 is the most urgent.
    tokens : int
        Tokens of the prompt plus the most that may be generated.
    deadline : float
        End of the wait, in seconds of the steward's clock.
    suspect : bool
        Whether an engine crashed once while the request ran on it.
    prompt_tokens : int
        Tokens of the prompt; 0 if the holder does not tell.
    preambles : tuple of Preamble
        Beginnings of the prompt, the shortest first.
    patience : float
        Longest time to the first token, in seconds, that the holder takes here
        rather than ask elsewhere.
    """

    ticket_id: str
    holder: str
    lora_name: str
    team: str
    weight: float
    urgency: int
    tokens: int
    deadline: float
    suspect: bool = False
    prompt_tokens: int = 0
    preambles: tuple = ()
    patience: float = math.inf


class HeldTicket(NamedTuple):
    """A ticket that was granted and has not come back.

    Attributes
    ----------
    ticket_id, holder, lora_name, team : str
        From the request.
    weight : float
        Weight of the team.
    tokens : int
        Tokens that the team was charged.
    granted_at, expires_at : float
        Seconds of the steward's clock.
    suspect : bool
        From the request.
    """

    ticket_id: str
    holder: str
    lora_name: str
    team: str
    weight: float
    tokens: int
    granted_at: float
    expires_at: float
    suspect: bool = False


class AdapterLoad(NamedTuple):
    """Requests of one adapter on an engine.

    Attributes
    ----------
    running, waiting : int
        Requests in the batch and before it.
    """

    running: int
    waiting: int


class LoadReport(NamedTuple):
    """The load of an engine, as it reported it.

    Attributes
    ----------
    boot : str
        Id of the engine's run.
    taken_at : float
        Seconds since the boot, on the engine's clock.
    slots : int
        Adapters that fit at once.
    resident : dict of str to AdapterLoad
        By ``ADAPTER@VERSION``.
    loading : frozenset of str
        Adapters being loaded.
    running, waiting : int
        Requests in the batch and before it.
    batch_limit : int
        Most requests in the batch.
    """

    boot: str
    taken_at: float
    slots: int
    resident: dict
    loading: frozenset
    running: int
    waiting: int
    batch_limit: int


class GrantTicket(NamedTuple):
    """Let a request go to the target.

    Attributes
    ----------
    ticket_id, holder, lora_name, boot : str
        Which request, on which adapter of which run of the engine.
    fencing_number : int
        Number of the steward.
    lease : float
        Seconds that the ticket lives without a renewal.
    waited : float
        Seconds between the arrival of the request and the grant.
    load_wait : float
        Seconds of these for which the adapter was not resident.
    """

    ticket_id: str
    holder: str
    lora_name: str
    boot: str
    fencing_number: int
    lease: float
    waited: float
    load_wait: float


class RefuseTicket(NamedTuple):
    """Turn a request away; it has not run.

    Attributes
    ----------
    ticket_id, holder : str
        Which request.
    reason : Reason
        Why.
    retry_after : float
        Seconds after which a retry may succeed.
    """

    ticket_id: str
    holder: str
    reason: Reason
    retry_after: float


class RequestLoadPermit(NamedTuple):
    """Ask for a permit to load one adapter from the weight store.

    Attributes
    ----------
    urgency : int
        Of the most urgent request that waits for a load.
    waiting : int
        Requests that wait for a load.
    """

    urgency: int
    waiting: int


class ReturnLoadPermit(NamedTuple):
    """Give back a permit that is not needed any more."""


class LoadAdapter(NamedTuple):
    """Order the engine to load an adapter.

    Attributes
    ----------
    order : int
        Number of the order, unique for the steward.
    lora_name, boot : str
        What to load, on which run of the engine.
    fencing_number : int
        Number of the steward.
    """

    order: int
    lora_name: str
    boot: str
    fencing_number: int


class UnloadAdapter(NamedTuple):
    """Order the engine to unload an adapter that is not in use.

    Attributes
    ----------
    order : int
        Number of the order, unique for the steward.
    lora_name, boot : str
        What to unload, on which run of the engine.
    fencing_number : int
        Number of the steward.
    """

    order: int
    lora_name: str
    boot: str
    fencing_number: int


class FenceTarget(NamedTuple):
    """Let the engine see the fencing number, by an order without effect.

    Attributes
    ----------
    boot : str
        Run of the engine.
    fencing_number : int
        Number of the steward.
    """

    boot: str
    fencing_number: int


Command = (
    GrantTicket
    | RefuseTicket
    | RequestLoadPermit
    | ReturnLoadPermit
    | LoadAdapter
    | UnloadAdapter
    | FenceTarget
)
