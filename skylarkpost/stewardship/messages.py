"""Inputs and output commands of the steward of a target."""

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
    """A request for permission to run one inference request on a target.

    Attributes
    ----------
    ticket_id : str
        Unique id of the inference request and its attempt.
    holder : str
        Instance that received the inference request from the caller.
    lora_name : str
        ``ADAPTER@VERSION``, or the name of the base model.
    team : str
        Team that is charged for the tokens.
    weight : float
        Weight of the team in fair queueing.
    urgency : int
        From 0 to 9; 9 is the most urgent.
    tokens : int
        Prompt tokens plus the maximum number of generated tokens.
    deadline : float
        Time at which the request leaves the queue, in seconds of the
        steward's clock.
    suspect : bool
        Whether an engine has crashed while running this request.
    prompt_tokens : int
        Prompt tokens; 0 if the holder does not report them.
    preambles : tuple of Preamble
        Prefixes of the prompt, the shortest first.
    patience : float
        Maximum expected time to first token, in seconds; beyond it the
        request is refused at once, so that the holder can try another target.
    goal_at : float
        Time until which its first token is in time, in seconds of the steward's clock.
    give_up_at : float
        Time at which its caller gives up, in seconds of the steward's clock.
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
    goal_at: float = math.inf
    give_up_at: float = math.inf


class HeldTicket(NamedTuple):
    """A ticket that was granted and not yet returned.

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
    """Number of requests for one adapter on an engine.

    Attributes
    ----------
    running, waiting : int
        Requests in the batch and waiting for it.
    """

    running: int
    waiting: int


class LoadReport(NamedTuple):
    """Load reported by an engine.

    Attributes
    ----------
    boot : str
        Boot id of the engine.
    taken_at : float
        Seconds since the boot, on the engine's clock.
    slots : int
        Number of adapter slots.
    resident : dict of str to AdapterLoad
        Requests by ``ADAPTER@VERSION``.
    loading : frozenset of str
        Adapters being loaded.
    running, waiting : int
        Requests in the batch and waiting for it.
    batch_limit : int
        Maximum number of requests in the batch.
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
    """Permit a request to be sent to the target.

    Attributes
    ----------
    ticket_id, holder, lora_name, boot : str
        The request, its adapter, and the boot id of the engine.
    fencing_number : int
        Fencing number of the steward.
    lease : float
        Lifetime of the ticket without renewal, in seconds.
    waited : float
        Seconds between the arrival of the request and the grant.
    load_wait : float
        Part of that time during which the adapter was not resident.
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
    """Refuse a request, which has not run.

    Attributes
    ----------
    ticket_id, holder : str
        The refused request.
    reason : Reason
        Cause of the refusal.
    retry_after : float
        Seconds after which a retry may succeed.
    """

    ticket_id: str
    holder: str
    reason: Reason
    retry_after: float


class RequestLoadPermit(NamedTuple):
    """Request a permit to load one adapter from the weight store.

    Attributes
    ----------
    urgency : int
        Highest urgency among the requests that wait for a load.
    waiting : int
        Number of adapters that requests wait for.
    """

    urgency: int
    waiting: int


class ReturnLoadPermit(NamedTuple):
    """Return a permit that is no longer needed."""


class LoadAdapter(NamedTuple):
    """Order the engine to load an adapter.

    Attributes
    ----------
    order : int
        Number of the order, unique per steward.
    lora_name, boot : str
        The adapter, and the boot id of the engine.
    fencing_number : int
        Fencing number of the steward.
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
        Number of the order, unique per steward.
    lora_name, boot : str
        The adapter, and the boot id of the engine.
    fencing_number : int
        Fencing number of the steward.
    """

    order: int
    lora_name: str
    boot: str
    fencing_number: int


class FenceTarget(NamedTuple):
    """Make the engine record the fencing number, by an order without effect.

    Attributes
    ----------
    boot : str
        Boot id of the engine.
    fencing_number : int
        Fencing number of the steward.
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
