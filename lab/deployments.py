"""The two replayed deployments, at their current sizes."""

from typing import NamedTuple

__all__ = ["DEPLOYMENTS", "Deployment", "Instance", "Target", "Team"]

SLOTS = 8
BATCH_LIMIT = 8
PREFIX_CACHE_TOKENS = 48_000
PREFILL_CHUNK_TOKENS = 512


class Team(NamedTuple):
    """One team and its rate limit.

    Attributes
    ----------
    name : str
        Name of the team.
    weight : float
        Fraction of all requests.
    main_data_centre : str
        Data centre that receives most of its requests.
    rate : float
        Rate limit over all instances, in tokens per second.
    burst : float
        Burst limit, in tokens.
    """

    name: str
    weight: float
    main_data_centre: str
    rate: float
    burst: float


class Instance(NamedTuple):
    """Name and data centre of one entry instance."""

    name: str
    data_centre: str


class Target(NamedTuple):
    """Name and data centre of one engine."""

    name: str
    data_centre: str


class Deployment(NamedTuple):
    """One deployment and the distribution of its requests.

    Attributes
    ----------
    name, region, pool : str
        Names of the deployment, its region and its engines.
    data_centres : tuple of str
        Names of the data centres.
    instances : tuple of Instance
        Entry instances.
    targets : tuple of Target
        Engines. Plain services hold no adapters and are not replayed.
    teams : tuple of Team
        Teams, largest first.
    link_s : float
        One-way delay between two data centres, in seconds.
    caller_s : float
        One-way delay between a caller and an instance, in seconds.
    peak_rate : float
        Peak request rate of the morning, per second.
    preamble_tokens, tail_tokens, output_tokens : tuple of int
        Minimum and maximum number of tokens of each part.
    urgencies : tuple of float
        Fraction of the adapters at each urgency, most urgent first.
    adapters : int
        Number of adapters.
    """

    name: str
    region: str
    pool: str
    data_centres: tuple
    instances: tuple
    targets: tuple
    teams: tuple
    link_s: float
    caller_s: float
    peak_rate: float
    preamble_tokens: tuple
    tail_tokens: tuple
    output_tokens: tuple
    urgencies: tuple
    adapters: int

    @property
    def tokens_per_request(self):
        """Mean number of tokens per request."""
        parts = (self.preamble_tokens, self.tail_tokens, self.output_tokens)
        return sum((low + high) / 2 for low, high in parts)


RATE_HEADROOM = 1.6
BURST_S = 20.0
TEAM_WEIGHTS = (0.36, 0.30, 0.16, 0.11, 0.07)


def _with_teams(deployment, names):
    """Add teams with rates derived from the peak request rate."""
    teams = []
    for number, (name, weight) in enumerate(zip(names, TEAM_WEIGHTS, strict=True)):
        mean = weight * deployment.peak_rate * deployment.tokens_per_request
        rate = RATE_HEADROOM * mean
        main_data_centre = deployment.data_centres[
            number % len(deployment.data_centres)
        ]
        teams.append(Team(name, weight, main_data_centre, rate, rate * BURST_S))
    return deployment._replace(teams=tuple(teams))


def _machines(data_centres, pool):
    """Distribute four instances and six engines over three data centres."""
    locations = (*data_centres, data_centres[0])
    instances = tuple(
        Instance(f"entry-{number}", location)
        for number, location in enumerate(locations)
    )
    targets = tuple(
        Target(f"{pool}-{number}", data_centres[number % len(data_centres)])
        for number in range(6)
    )
    return instances, targets


def _kalahari():
    data_centres = ("windhoek-a", "windhoek-b", "okahandja")
    instances, targets = _machines(data_centres, "plan-assist")
    deployment = Deployment(
        name="kalahari",
        region="nam-central",
        pool="plan-assist",
        data_centres=data_centres,
        instances=instances,
        targets=targets,
        teams=(),
        link_s=0.0015,
        caller_s=0.001,
        peak_rate=6.0,
        preamble_tokens=(1200, 2800),
        tail_tokens=(40, 200),
        output_tokens=(40, 260),
        urgencies=(0.3, 0.5, 0.2),
        adapters=3000,
    )
    names = ("ridgeline", "sandveld", "depot-north", "depot-south", "gauge-six")
    return _with_teams(deployment, names)


def _rose_gifts():
    data_centres = ("ikeja", "lekki", "yaba")
    instances, targets = _machines(data_centres, "scribe")
    deployment = Deployment(
        name="rose-gifts",
        region="lagos",
        pool="scribe",
        data_centres=data_centres,
        instances=instances,
        targets=targets,
        teams=(),
        link_s=0.001,
        caller_s=0.001,
        peak_rate=6.0,
        preamble_tokens=(800, 2000),
        tail_tokens=(20, 120),
        output_tokens=(30, 150),
        urgencies=(0.5, 0.35, 0.15),
        adapters=3000,
    )
    names = ("rosegate", "petal-street", "wreath-house", "gate-riders", "card-corner")
    return _with_teams(deployment, names)


DEPLOYMENTS = {
    deployment.name: deployment for deployment in (_kalahari(), _rose_gifts())
}
