"""What the parts of a gateway instance share."""

import time

from skylarkpost.daemon import Services
from skylarkpost.platform import EngineCodec
from skylarkpost.relay.retry_budget import RetryBudget
from skylarkpost.transport import (
    ConnectionPool,
    call_target,
    encode_request,
)

__all__ = ["GatewayServices", "steady_clock"]

# Connections for reports and orders beside those of requests.
LEAST_CONNECTIONS = 4
# Part of the retries that the deployment allows: what is saved up may be spent at the
# end of one of its spans and again, once earned anew, in the same span.
RETRY_PART = 0.5


def steady_clock():
    """Return seconds on a clock that also counts while the machine is frozen.

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
        Topics that this instance follows.
    """

    def __init__(self, *, settings, store, clock=steady_clock, **kwargs):
        super().__init__(settings=settings, clock=clock, **kwargs)
        self.store = store
        self.pool = ConnectionPool(clock=clock, on_opened=self._note_opened)
        self.followers = {}
        self.retry_budgets = {}

    async def ask_peers(self, topic, start):
        """Ask the other instances for a topic.

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

    async def ask_reader(self, topic, start, wait):
        """Ask the instance that reads a topic for others.

        Parameters
        ----------
        topic : str
            The topic.
        start : int
            First offset wanted.
        wait : float
            Longest wait, in seconds.

        Returns
        -------
        PeerRecords or None
            None if this instance has to read the store itself.
        """
        return await self.controllers["fleet"].ask_reader(topic, start, wait)

    def retry_budget(self, service):
        """Return the budget of retries of this instance for a service.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        RetryBudget
        """
        bounds = self.settings.bounds
        part = RETRY_PART * bounds.retry_slack / self.fleet_size()
        reserve = max(1.0, part)
        budget = self.retry_budgets.get(service)
        if budget is None:
            ratio = RETRY_PART * bounds.retry_ratio
            budget = RetryBudget(ratio=ratio, reserve=reserve)
            self.retry_budgets[service] = budget
        # Instances come and go; all of their parts together stay within the slack.
        budget.resize(reserve)
        return budget

    def fleet_size(self):
        """Return how many instances share what targets and teams allow.

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
        return max(LEAST_CONNECTIONS, share)

    async def connect(self, ticket, service):
        """Return a connection for a ticket's target.

        Parameters
        ----------
        ticket : Ticket
            Where the request goes.
        service : skylarkpost.routing.TargetService
            The target's service.

        Returns
        -------
        TargetConnection, ConnectFailed or PoolExhausted
        """
        limit = self.connection_share(service)
        return await self.pool.get(ticket.boot, ticket.address, limit=limit)

    async def call_target(self, entry, method, path, body, timeout):
        """Make a small call to a target.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        method, path : str
            Of the request line.
        body : bytes
            The whole body.
        timeout : float
            Longest time, in seconds.

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
            name=entry.boot,
            address=entry.address,
            limit=self.connection_share_of(entry),
            payload=encode_request(method, path, headers, body),
            timeout=timeout,
        )

    def connection_share_of(self, entry):
        """Return how many connections this instance may open to a target.

        Parameters
        ----------
        entry : TargetEntry
            The target.

        Returns
        -------
        int
        """
        known = self.controllers["config"].state.configuration
        service = None if known is None else known.services.get(entry.service)
        return LEAST_CONNECTIONS if service is None else self.connection_share(service)

    async def close(self):
        """Close all clients."""
        await self.pool.close()
        await self.store.close()
        await super().close()

    def _note_opened(self, name):
        self.metrics.count_event("target-connection-opened")
