"""Shared state and clients of one instance."""

import random
import time

import aiohttp

from skylarkpost.metrics import Metrics
from skylarkpost.rpc import PeerChannels

__all__ = ["Services"]

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 4096


class Services:
    """Settings, clock, clients and controllers of one instance.

    Parameters
    ----------
    settings : skylarkpost.settings.Settings
        The validated settings.
    clock : callable
        Returns the present time in seconds; monotonic.
    wall_clock : callable
        Returns the seconds since the Unix epoch, for records and logs.
    seed : int or None
        Seed of the instance's random number generator; None for a random one.

    Attributes
    ----------
    boot : str
        Id of this process run; a restart gives the instance a new one.
    log : skylarkpost.log.LogClient
        The platform's log. Set by the daemon before controllers are built.
    instances : skylarkpost.listing.InstanceListClient
        The platform's instance list. Set by the daemon before controllers are
        built.
    peers : skylarkpost.rpc.PeerChannels
        gRPC channels to the other instances.
    http : aiohttp.ClientSession or None
        HTTP client for targets and the platform; set when the daemon starts.
    controllers : dict of str to Controller
        By registered name.
    exchanges : dict of str to skylarkpost.filters.Exchange
        Open requests by request id.
    draining : bool
        Whether the load balancer is told to send no more requests.
    leaving : bool
        Whether new requests are refused because of the shutdown.
    """

    def __init__(self, *, settings, clock=time.monotonic, wall_clock=time.time, seed):
        self.settings = settings
        self.clock = clock
        self.wall_clock = wall_clock
        self.random = random.Random(seed)
        self.boot = f"{int(wall_clock() * 1000):x}-{self.random.getrandbits(32):08x}"
        self.metrics = Metrics()
        self.peers = PeerChannels()
        self.log = None
        self.instances = None
        self.http = None
        self.controllers = {}
        self.exchanges = {}
        self.draining = False
        self.leaving = False

    @property
    def instance(self):
        """Id of this instance."""
        return self.settings.instance.id

    @property
    def data_centre(self):
        """Data centre of this instance."""
        return self.settings.instance.data_centre

    @property
    def peer_address(self):
        """Address of this instance for its peers, ``IP:PORT``."""
        return self.settings.instance.peer_address

    def open_http(self):
        """Open the HTTP client session; needs a running event loop."""
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, use_dns_cache=False)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self.http = aiohttp.ClientSession(connector=connector, timeout=timeout)

    async def close(self):
        """Close all clients."""
        await self.peers.close()
        if self.http is not None:
            await self.http.close()
