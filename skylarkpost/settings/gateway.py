"""Settings schema of a gateway instance."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from skylarkpost.settings.schema import LogSettings, Name, ProcessSettings

__all__ = ["GatewaySettings"]

Address = Annotated[str, Field(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]
Seconds = Annotated[float, Field(ge=0.0, le=3600.0)]
Milliseconds = Annotated[float, Field(ge=0.0, le=3_600_000.0)]


class Section(BaseModel):
    """Base class of sections: unknown keys are ignored, instances are immutable.

    A deployment may add keys before this version knows them.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)


class GatewayInstanceSettings(Section):
    """``[instance]``: who and where this instance is."""

    id: Name = Field(description="Unique id of this instance.")
    data_centre: Name = Field(description="Data centre that it runs in.")
    front_address: Address = Field(description="For callers.")
    ready_address: Address = Field(description="For the balancer's question.")
    peer_address: Address = Field(description="For the other instances (gRPC).")
    metrics_address: Address = Field(description="For metrics.")
    seeds: tuple[Address, ...] = Field(
        default=(), description="Instances that may know the others."
    )


class StoreSettings(Section):
    """``[store]``: where the lasting state is."""

    address: Address = Field(description="The store.")


class BoundSettings(Section):
    """``[bounds]``: what the deployment promises and asks for."""

    lease_ms: Milliseconds = Field(
        default=3000.0,
        description="Pause between the orders of two stewards of one target.",
    )
    grace_s: Seconds = Field(default=8.0, description="From SIGTERM to SIGKILL.")
    config_ms: Milliseconds = Field(
        default=2000.0,
        gt=0.0,
        description="From the store's acknowledgement of a change until it is in force.",
    )
    drain_ms: Milliseconds = Field(
        default=2000.0,
        gt=0.0,
        description="From the announcement that a target leaves to its last request.",
    )
    heartbeat_ms: Milliseconds = Field(
        default=1200.0,
        gt=0.0,
        description="Interval at which targets renew their announcements; the store "
        "removes one after three.",
    )
    retry_ratio: float = Field(
        default=0.2, ge=0.0, le=10.0, description="Retries for each request."
    )
    retry_slack: float = Field(
        default=58.0, ge=0.0, description="Retries in a span beyond the ratio."
    )
    quota_window_s: float = Field(
        default=8.0, gt=0.0, description="Span over which a team's limit is counted."
    )
    quota_slack: float = Field(
        default=0.0, ge=0.0, description="Units tolerated beyond a team's limit."
    )
    limit_window_s: float = Field(
        default=4.0,
        gt=0.0,
        description="Span over which targets that name a limit count their requests.",
    )
    limit_overrun: float = Field(
        default=0.5,
        ge=0.0,
        description="Part of a target's limit that is tolerated beyond it.",
    )
    limit_slack: float = Field(
        default=5.0,
        ge=0.0,
        description="Requests in a span that are tolerated beyond that.",
    )
    warm_up_overrun: float = Field(
        default=1.0,
        ge=1.0,
        le=1000.0,
        description="Multiple of a target's warm-up rate that is tolerated in one "
        "second.",
    )
    warm_up_slack: float = Field(
        default=0.0,
        ge=0.0,
        le=1e6,
        description="Requests in one second that are tolerated beyond that.",
    )


class QueueSettings(Section):
    """``[queue]``: in which order requests wait for engines that are full."""

    order: str = Field(
        default="fair",
        pattern="^(fair|first-come|least-loss)$",
        description="`fair`: urgency, teams' shares, arrival. `least-loss`: what "
        "callers lose least by comes last.",
    )
    prefill_ahead_s: float = Field(
        default=60.0,
        gt=0.0,
        le=60.0,
        description="Seconds of prefill that an engine gets ahead; more requests wait "
        "where their order may still change.",
    )


class GatewaySettings(Section):
    """The whole file."""

    instance: GatewayInstanceSettings
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
    process: ProcessSettings = ProcessSettings()
    queue: QueueSettings = QueueSettings()
    log: LogSettings = LogSettings()
