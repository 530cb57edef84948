"""Clients, clocks and state shared by the controllers of a gateway instance."""

import logging
import time

from skylarkpost.daemon import Services
from skylarkpost.eventlog import log_event
from skylarkpost.gateway.shutdown import GraceBudget
from skylarkpost.platform import EngineCodec, HeaderCodec
from skylarkpost.relay.retry_budget import RetryBudget
from skylarkpost.transport import (
    ConnectionPool,
    call_target,
    encode_request,
)

__all__ = ["GatewayServices", "boottime_clock"]

logger = logging.getLogger(__name__)

MIN_CONNECTIONS = 4
# Connections to an engine for a report, two loads and their unloads, and an order
# without an answer.
CALL_CONNECTIONS = 6
# Fraction of the retries that the deployment allows: within one of its accounting
# spans the reserve may be spent and, once refilled, spent again.
RETRY_FRACTION = 0.5


def boottime_clock():
    """Return seconds on a clock that also advances while the machine is suspended.

    Returns
    -------
    float
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class GatewayServices(Services):
    """Settings, clocks, clients and controllers of one instance.

    Parameters
    ----------
    settings : skylarkpost.settings.GatewaySettings
        The checked settings.
    store : object
        Client of the store.
    kwargs : dict
        As for `Services`.

    Attributes
    ----------
    pool : ConnectionPool
        Connections to targets.
    followers : dict of str to KeyedFollower
        Followers of the topics that this instance reads.
    """

    def __init__(self, *, settings, store, clock=boottime_clock, **kwargs):
        super().__init__(settings=settings, clock=clock, **kwargs)
        self.store = store
        self.pool = ConnectionPool(clock=clock, on_opened=self._note_opened)
        self.followers = {}
        self.retry_budgets = {}
        self.grace = GraceBudget(grace=settings.bounds.grace_s)

    async def query_peers(self, topic, start):
        """Query other instances for the records of a topic.

        Parameters
        ----------
        topic : str
            The topic.
        start : int
            First offset wanted; -1 for everything.

        Returns
        -------
        PeerRecords or None
        """
        return await self.controllers["fleet"].read_topic(topic, start)

    async def query_all_peers(self, topic, start):
        """Query other instances for the records of a topic, and return all answers.

        Parameters
        ----------
        topic : str
            The topic.
        start : int
            First position wanted; -1 for everything.

        Returns
        -------
        list of PeerRecords
        """
        return await self.controllers["fleet"].read_topic_everywhere(topic, start)

    async def query_reader(self, topic, start, usable_age):
        """Query the instance that reads a topic for others.

        Parameters
        ----------
        topic : str
            The topic.
        start : int
            First offset wanted.
        usable_age : float
            Age until which records are of use, in seconds.

        Returns
        -------
        PeerRecords or None
            None if this instance has to read the store itself.
        """
        return await self.controllers["fleet"].queries.query(topic, start, usable_age)

    def retry_budget(self, service):
        """Return this instance's retry budget for a service.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        RetryBudget
        """
        bounds = self.settings.bounds
        share = RETRY_FRACTION * bounds.retry_slack / self.fleet_size()
        reserve = max(1.0, share)
        budget = self.retry_budgets.get(service)
        if budget is None:
            ratio = RETRY_FRACTION * bounds.retry_ratio
            budget = RetryBudget(ratio=ratio, reserve=reserve)
            self.retry_budgets[service] = budget
        # As instances come and go, the sum of their shares stays within the slack.
        budget.resize(reserve)
        return budget

    def fleet_size(self):
        """Return how many instances share the limits of targets and teams.

        Returns
        -------
        int
        """
        fleet = self.controllers.get("fleet")
        return 1 if fleet is None else max(1, fleet.size())

    def connection_share(self, service):
        """Return how many connections this instance may open to one target.

        Parameters
        ----------
        service : skylarkpost.routing.TargetService
            The target's service.

        Returns
        -------
        int
        """
        share = service.max_connections // self.fleet_size()
        if service.engine is not None:
            share -= CALL_CONNECTIONS
        return max(MIN_CONNECTIONS, share)

    async def connect(self, ticket, service):
        """Return a pooled or new connection to a ticket's target.

        Parameters
        ----------
        ticket : Ticket
            The request's ticket.
        service : skylarkpost.routing.TargetService
            The target's service.

        Returns
        -------
        TargetConnection, ConnectFailed or PoolExhausted
        """
        limit = self.connection_share(service)
        return await self.pool.get(ticket.boot, ticket.address, limit=limit)

    async def call_target(self, entry, method, path, body, timeout, *, channel):
        """Make a report or order call to a target.

        The answers name no call, so a second copy of one looks like the answer to
        whatever its connection carries next. Calls therefore share no connection with
        requests; each report, and each order with its polls, has one of its own.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        method, path : str
            Method and path of the request.
        body : bytes
            The request's body.
        timeout : float
            Maximum duration, in seconds.
        channel : CallChannel
            Connection of the report, or of the order and its polls.

        Returns
        -------
        CallResponse or CallIncomplete
        """
        headers = [
            ("host", entry.address),
            (EngineCodec.instance_header, entry.name),
        ]
        if body:
            headers.append(("content-type", "application/json"))
        return await call_target(
            self.pool,
            name=f"{entry.boot} calls",
            address=entry.address,
            limit=CALL_CONNECTIONS,
            channel=channel,
            payload=encode_request(method, path, headers, body),
            timeout=timeout,
            is_foreign=self._is_request_answer,
            on_head=lambda head: self._note_signals(entry, head),
        )

    async def close(self):
        """Close all clients."""
        await self.pool.close()
        await self.store.close()
        await super().close()

    def _note_signals(self, entry, head):
        metadata = HeaderCodec.read_answer(head.status, head.headers)
        # Reports and orders are not requests: what turns them away is no pause.
        metadata = metadata._replace(pause=None)
        signals = self.controllers["target-signals"]
        signals.note_answer(entry.name, entry.boot, metadata, self.clock())

    def _is_request_answer(self, head):
        # Reports and orders carry no attempt id, so an answer with one is a late
        # copy of the answer to a request that used the connection before.
        answered = HeaderCodec.read_answer(head.status, head.headers).attempt_id
        if not answered:
            return False
        self.metrics.count_event("late-answer-dropped")
        log_event(logger, "late-answer-dropped", request=None, answers=answered)
        return True

    def _note_opened(self, name):
        self.metrics.count_event("target-connection-opened")
