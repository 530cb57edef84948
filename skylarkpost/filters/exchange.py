"""One request on its way through the filter chain."""

import asyncio
from typing import NamedTuple

__all__ = ["Answer", "Decision", "Exchange"]


class Decision(NamedTuple):
    """What one filter decided about one request.

    Attributes
    ----------
    at : float
        Time of the decision, in seconds of the instance's clock.
    filter : str
        Name of the filter.
    decision : str
        What it decided, e.g. ``"passed"`` or a refusal's reason.
    detail : str
        Target, attempt or number that the decision was about.
    """

    at: float
    filter: str
    decision: str
    detail: str


class Answer(NamedTuple):
    """The answer of a plain service, kept for callers who ask again.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers for the caller.
    body : bytes or None
        None if it was too large to keep.
    """

    status: int
    headers: dict[str, str]
    body: bytes | None


class Exchange:
    """A request, and what the filters found out about it.

    Parameters
    ----------
    request_id : str
        Unique id, made by this instance.
    method, path, query : str
        Of the HTTP request. The query holds no key any more.
    headers : dict of str to str
        Headers that may go to a target, by lower-case name. None holds a key.
    body : bytes
        The body as received.
    key_hash : str or None
        SHA-256 of the caller's key in hexadecimal; the key itself is not kept.
    received_at : float
        When it came, in seconds of the instance's clock.
    deadline : float
        When it has to have ended, on the same clock.

    Attributes
    ----------
    content : dict or None
        The body as JSON, if it is a model request.
    team : str or None
        Set by the key filter.
    profile : skylarkpost.config.Profile or None
        Set by the profile filter for model requests.
    route : skylarkpost.config.Route or None
        Set by the profile filter for calls to plain services.
    prompt_tokens, output_tokens : int
        Tokens of the prompt and the most that may be generated.
    generated_tokens : int or None
        Tokens that were generated, as far as this instance has seen.
    ticket : object or None
        Set by the placement filter.
    fingerprint : str or None
        Hash of what the target would be asked; set by the quarantine filter.
    suspect : bool
        Whether a target crashed once while this request ran on it.
    send_by : float or None
        Latest time for sending it to a target, on the same clock as
        `deadline`; set by the claim filter.
    dispatched : bool
        Whether bytes of the request may have reached a target.
    answer : Answer or None
        What a plain service answered.
    decisions : list of Decision
        For the `explain` command.
    outcome : Outcome or None
        What became of it.
    cancelled : Refused or None
        Why the request has to stop, e.g. because its key was withdrawn.
    cancel_event : asyncio.Event
        Set when `cancelled` is.
    """

    def __init__(
        self,
        *,
        request_id,
        method,
        path,
        query,
        headers,
        body,
        key_hash,
        received_at,
        deadline,
    ):
        self.request_id = request_id
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body
        self.key_hash = key_hash
        self.received_at = received_at
        self.deadline = deadline
        self.content = None
        self.team = None
        self.profile = None
        self.route = None
        self.prompt_tokens = 0
        self.output_tokens = 0
        self.generated_tokens = None
        self.ticket = None
        self.fingerprint = None
        self.suspect = False
        self.send_by = None
        self.dispatched = False
        self.answer = None
        self.first_byte_at = None
        self.decisions = []
        self.outcome = None
        self.cancelled = None
        self.cancel_event = asyncio.Event()
        self._finish_callbacks = []

    @property
    def is_model_request(self):
        """Whether an engine answers it, rather than a plain service."""
        return self.content is not None

    def note(self, filter_name, decision, *, now, detail=""):
        """Keep one decision for the `explain` command.

        Parameters
        ----------
        filter_name, decision : str
            Who decided what.
        now : float
            The present time, in seconds.
        detail : str
            What the decision was about.
        """
        self.decisions.append(Decision(now, filter_name, decision, str(detail)))

    def on_finish(self, callback):
        """Have an async function called once when the request has ended.

        Parameters
        ----------
        callback : callable
            Takes the exchange; returns an awaitable. The last one added runs
            first.
        """
        self._finish_callbacks.append(callback)

    async def finish(self):
        """Run the callbacks of `on_finish`, each at most once."""
        while self._finish_callbacks:
            callback = self._finish_callbacks.pop()
            await callback(self)

    def cancel(self, refusal):
        """Stop the request where it is, e.g. because its key was withdrawn.

        Parameters
        ----------
        refusal : Refused
            What the caller is told.
        """
        if self.cancelled is None:
            self.cancelled = refusal
            self.cancel_event.set()
