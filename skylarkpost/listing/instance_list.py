"""Client that polls the platform's list of live and leaving instances."""

import asyncio
import logging
from dataclasses import dataclass
from typing import NamedTuple

import aiohttp
import msgspec

from skylarkpost.decoding import Malformed, decode_json
from skylarkpost.eventlog import log_event
from skylarkpost.runtime.sessions import HttpSessions
from skylarkpost.runtime.tasks import BackgroundTask

__all__ = [
    "InstanceList",
    "InstanceListClient",
    "InstanceListUnavailable",
    "ListedInstance",
]

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.5
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 1.0
STATUS_OK = 200


class ListedInstance(NamedTuple):
    """One entry of the platform's list.

    Attributes
    ----------
    id : str
        Id of the instance or target.
    role : str
        ``"entry"`` or ``"target"``.
    address : str
        ``IP:PORT``; the peer port for the role ``"entry"``.
    data_centre : str
        Data centre that it runs in.
    state : str
        ``"live"`` or ``"leaving"``.
    """

    id: str
    role: str
    address: str
    data_centre: str
    state: str


@dataclass(frozen=True, kw_only=True)
class InstanceList:
    """The platform's list at one moment.

    Parameters
    ----------
    as_of : float
        Time of the list, in seconds of the platform's wall clock.
    instances : dict of str to ListedInstance
        Entries by id.
    """

    as_of: float
    instances: dict[str, ListedInstance]


@dataclass(frozen=True, kw_only=True)
class InstanceListUnavailable:
    """The list could not be fetched.

    Parameters
    ----------
    detail : str
        What happened.
    """

    detail: str


class EntryOnWire(msgspec.Struct):
    """One entry on the wire."""

    id: str
    role: str
    address: str
    data_centre: str
    state: str


class ListOnWire(msgspec.Struct):
    """The list on the wire."""

    as_of: float
    instances: list[EntryOnWire]


class InstanceListClient:
    """Polls the platform's list and keeps the last one received.

    Parameters
    ----------
    base_url : str
        ``http://IP:PORT`` of the list.
    session_source : callable
        Returns the pooled `aiohttp.ClientSession`.
    clock : callable
        Returns the current time in seconds.
    interval : float
        Seconds between two polls.

    Attributes
    ----------
    instances : dict of str to ListedInstance
        The last list, by id; empty before the first.
    as_of : float or None
        Time of the list, in seconds of the platform's wall clock.
    fetched_at : float or None
        When it was requested, in seconds of `clock`.
    available : bool
        Whether the last poll succeeded.
    """

    def __init__(self, *, base_url, session_source, clock, interval=POLL_INTERVAL_S):
        self.base_url = base_url
        self.clock = clock
        self.interval = interval
        self.sessions = HttpSessions(session_source=session_source)
        self.instances = {}
        self.as_of = None
        self.fetched_at = None
        self.available = False
        self.subscribers = []
        self.background = BackgroundTask(name="poll-instance-list")

    def subscribe(self, callback):
        """Register a callback for each new list.

        Parameters
        ----------
        callback : callable
            ``callback(listing, now)`` with an `InstanceList`.
        """
        self.subscribers.append(callback)

    def start(self):
        """Start polling in the background."""
        self.background.start(self._run())

    async def stop(self):
        """Stop polling."""
        await self.background.stop()
        await self.sessions.close()

    async def poll(self):
        """Fetch the list once.

        Returns
        -------
        InstanceList or InstanceListUnavailable
        """
        requested_at = self.clock()
        answer = await self._fetch()
        if isinstance(answer, InstanceListUnavailable):
            self._note_failed(answer.detail)
            return answer
        self.available = True
        if self.as_of is not None and answer.as_of < self.as_of:
            return answer
        self.instances = answer.instances
        self.as_of = answer.as_of
        self.fetched_at = requested_at
        for callback in self.subscribers:
            callback(answer, self.clock())
        return answer

    async def _run(self):
        while True:
            await self.poll()
            await asyncio.sleep(self.interval)

    async def _fetch(self):
        session = self.sessions.select(self.base_url, now=self.clock())
        timeout = aiohttp.ClientTimeout(
            total=ANSWER_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with session.get(
                self.base_url + "/instances", timeout=timeout
            ) as response:
                if response.status != STATUS_OK:
                    return InstanceListUnavailable(detail=f"status {response.status}")
                return _decode(await response.read())
        except TimeoutError:
            self.sessions.note_silence(self.base_url, now=self.clock())
            return InstanceListUnavailable(detail="no answer in time")
        except (aiohttp.ClientError, OSError) as error:
            return InstanceListUnavailable(detail=repr(error))

    def _note_failed(self, detail):
        if self.available or self.fetched_at is None:
            log_event(
                logger,
                "instance-list-unavailable",
                level=logging.WARNING,
                detail=detail,
            )
        self.available = False


def _decode(body):
    decoded = decode_json(body, ListOnWire)
    if isinstance(decoded, Malformed):
        return InstanceListUnavailable(
            detail=f"answer not understood: {decoded.detail}"
        )
    entries = [
        ListedInstance(e.id, e.role, e.address, e.data_centre, e.state)
        for e in decoded.instances
    ]
    return InstanceList(as_of=decoded.as_of, instances={e.id: e for e in entries})
