"""What the parts of one instance share."""

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
        The checked settings.
    clock : callable
        Returns the present time in seconds; never goes back.
    wall_clock : callable
        Returns the seconds since the Unix epoch, for records and logs.
    seed : int
        Seed of the instance's random source.

    Attributes
    ----------
    boot : str
        Id of this run of the process; a restarted instance has a new one.
    log : skylarkpost.log.LogClient
        The platform's log. Set by the daemon before controllers are built.
    instances : skylarkpost.listing.InstanceListClient
        The platform's list. Set by the daemon before controllers are built.
    peers : skylarkpost.rpc.PeerChannels
        gRPC channels to the other instances.
    http : aiohttp.ClientSession or None
        For targets and the platform; set when the daemon starts.
    controllers : dict of str to Controller
        By registered name.
    exchanges : dict of str to skylarkpost.filters.Exchange
        Requests open now, by request id.
    draining : bool
        Whether the balancer is asked to send nothing more.
    leaving : bool
        Whether new requests are refused because of a shutdown.
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
        """Open the HTTP client session. Needs a running event loop."""
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, use_dns_cache=False)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self.http = aiohttp.ClientSession(connector=connector, timeout=timeout)

    async def close(self):
        """Close all clients."""
        await self.peers.close()
        if self.http is not None:
            await self.http.close()
