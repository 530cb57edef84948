"""Settings schema of the daemon, with units, ranges and defaults."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, IPvAnyAddress, model_validator

__all__ = ["Settings"]

Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Url = Annotated[str, Field(pattern=r"^http://[0-9.\[\]:a-f]+:[0-9]{1,5}$")]


class Section(BaseModel):
    """Base class of sections: unknown keys are faults, instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSettings(Section):
    """``[instance]``: who and where this instance is."""

    id: Name = Field(description="Unique id of this instance.")
    data_centre: Name = Field(description="Data centre that it runs in.")
    address: IPvAnyAddress = Field(description="IP number that it listens on.")
    http_port: Port = Field(description="Port for callers and operators.")
    peer_port: Port = Field(description="Port for the other instances (gRPC).")

    @property
    def peer_address(self):
        """Address for the other instances, ``IP:PORT``."""
        return f"{self.address}:{self.peer_port}"


class PlatformSettings(Section):
    """``[platform]``: where the platform's services are."""

    log_url: Url = Field(description="Append-only log.")
    instance_list_url: Url = Field(description="List of live instances.")
    log_retention: float = Field(
        default=3600.0,
        ge=10.0,
        le=31_536_000.0,
        description="How long the log keeps a record, in seconds.",
    )


class ProcessSettings(Section):
    """``[process]``: what this process may use of its machine."""

    memory_mb: float = Field(
        default=0.0,
        ge=0.0,
        description="Memory of the machine; a quarter is for what callers' connections "
        "hold. 0: what the system names.",
    )
    descriptors: float = Field(
        default=0.0,
        ge=0.0,
        description="Open descriptors; half of those beyond 200 are for callers. 0: "
        "what the system allows.",
    )


class RequestSettings(Section):
    """``[requests]``: bounds on what callers send and how long it may take."""

    max_body: int = Field(
        default=4_194_304, ge=1024, le=67_108_864, description="Bytes of a body."
    )
    max_open: int = Field(
        default=2000, ge=1, le=100_000, description="Requests open at once."
    )
    deadline: float = Field(
        default=120.0, ge=1.0, le=3600.0, description="Longest request, in seconds."
    )
    silence: float = Field(
        default=3.0,
        ge=0.2,
        le=60.0,
        description="Seconds without a byte after which a stream is probed.",
    )
    service_timeout: float = Field(
        default=10.0,
        ge=0.1,
        le=600.0,
        description="Longest call to a plain service, in seconds.",
    )
    default_max_tokens: int = Field(
        default=256,
        ge=1,
        le=65536,
        description="Output tokens allowed where the caller gives no number.",
    )


class ShutdownSettings(Section):
    """``[shutdown]``: how the daemon leaves."""

    notice: float = Field(
        default=5.0,
        ge=0.0,
        le=60.0,
        description="Seconds between not ready and no new requests.",
    )
    drain: float = Field(
        default=120.0, ge=1.0, le=3600.0, description="Longest wait for streams, s."
    )


class QuarantineSettings(Section):
    """``[quarantine]``: requests that crash targets."""

    suspect_life: float = Field(
        default=600.0,
        ge=1.0,
        le=86_400.0,
        description="Seconds for which a crash is held against a request.",
    )
    quarantine_life: float = Field(
        default=900.0,
        ge=1.0,
        le=86_400.0,
        description="Seconds for which a request is quarantined.",
    )


class LimitSettings(Section):
    """``[limits]``: how the instances share the limits of teams."""

    slots: dict[Name, Annotated[int, Field(ge=1, le=64)]] = Field(
        default={},
        description="Share slots by data centre; the same on all instances. "
        "Each slot stands for an equal part of every limit.",
    )
    lease: float = Field(
        default=2.0,
        ge=0.2,
        le=30.0,
        description="Seconds for which a share is lent to a pool.",
    )
    renewal: float = Field(
        default=0.5,
        ge=0.05,
        le=10.0,
        description="Seconds between renewals of lent shares.",
    )
    authority: float = Field(
        default=3.0,
        ge=0.5,
        le=60.0,
        description="Longest pause, in seconds, after which an owner of a slot "
        "goes on without having read the log again.",
    )
    draw_deadline: float = Field(
        default=0.25,
        ge=0.01,
        le=5.0,
        description="Seconds until a pool holder that does not answer is given up.",
    )
    patience: float = Field(
        default=2.0,
        ge=0.0,
        le=30.0,
        description="Seconds for which a request of a team that is within its "
        "rate waits for shares that are being handed over.",
    )
    service_call: int = Field(
        default=50,
        ge=0,
        le=1_000_000,
        description="Tokens charged for a call to a plain service.",
    )
    loads_per_second: float = Field(
        default=3.0,
        gt=0.0,
        le=10_000.0,
        description="Adapter loads a second that the weight store allows.",
    )
    loads_in_transit: int = Field(
        default=8,
        ge=1,
        le=100_000,
        description="Adapter loads at once that the weight store serves well.",
    )

    @model_validator(mode="after")
    def _check_renewal(self):
        if self.renewal * 2 > self.lease:
            raise ValueError("renewal has to be at most half of lease")
        return self


class ClaimSettings(Section):
    """``[claims]``: calls that may not be repeated."""

    window: float = Field(
        default=5.0,
        ge=0.2,
        le=60.0,
        description="Seconds within which a claim has to be read back from the log "
        "and the request sent.",
    )
    max_answer_bytes: int = Field(
        default=8_388_608,
        ge=0,
        le=1_073_741_824,
        description="Bytes of all answers kept for repeated calls.",
    )


class StewardshipSettings(Section):
    """``[stewardship]``: leases and bounds of the stewards of targets."""

    ticket_lease: float = Field(
        default=10.0,
        ge=2.0,
        le=120.0,
        description="Seconds that a ticket lives without a renewal.",
    )
    authority_lease: float = Field(
        default=3.0,
        ge=1.0,
        le=30.0,
        description="Seconds that a steward acts after it last confirmed that it is.",
    )
    silence: float = Field(
        default=3.0,
        ge=0.5,
        le=60.0,
        description="Seconds for which a steward is missing before it is replaced.",
    )
    order_linger: float = Field(
        default=5.0,
        ge=0.5,
        le=120.0,
        description="Seconds after which an order without an answer may yet arrive.",
    )
    report_lag: float = Field(
        default=1.0,
        ge=0.0,
        le=30.0,
        description="Greatest age of an engine's load report, in seconds.",
    )
    poll_interval: float = Field(
        default=0.25,
        ge=0.05,
        le=5.0,
        description="Seconds between two load reports.",
    )
    queue_limit: int = Field(
        default=512, ge=1, le=100_000, description="Requests that wait for one target."
    )
    queue_order: str = Field(
        default="fair",
        pattern="^(fair|first-come)$",
        description="Which waiting request goes next.",
    )
    eviction: str = Field(
        default="worth",
        pattern="^(worth|least-recently-used)$",
        description="Which idle adapter leaves its slot.",
    )


class PlacementSettings(Section):
    """``[placement]``: which target a request goes to."""

    score: str = Field(
        default="first-token",
        pattern="^(first-token|least-loaded)$",
        description="How targets are compared.",
    )
    prefill_rate: float = Field(
        default=8000.0,
        gt=0.0,
        description="Prompt tokens that an engine works through in a second.",
    )
    preamble_share: float = Field(
        default=0.8,
        ge=0.0,
        le=1.0,
        description="Part of a prompt that is a shared preamble.",
    )


class LogSettings(Section):
    """``[log]``: what the daemon writes about itself."""

    level: str = Field(
        default="INFO",
        pattern="^(DEBUG|INFO|WARNING|ERROR)$",
        description="Lowest level written.",
    )


class Settings(Section):
    """The whole file."""

    instance: InstanceSettings
    platform: PlatformSettings
    requests: RequestSettings = RequestSettings()
    process: ProcessSettings = ProcessSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    limits: LimitSettings = LimitSettings()
    claims: ClaimSettings = ClaimSettings()
    stewardship: StewardshipSettings = StewardshipSettings()
    placement: PlacementSettings = PlacementSettings()
    log: LogSettings = LogSettings()
