"""Every setting of the daemon, with its unit, range and default."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, IPvAnyAddress

__all__ = ["Settings"]

Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Url = Annotated[str, Field(pattern=r"^http://[0-9.\[\]:a-f]+:[0-9]{1,5}$")]


class Section(BaseModel):
    """Base of all sections: unknown keys are faults, values never change."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSettings(Section):
    """``[instance]``: who and where this instance is."""

    id: Name = Field(description="Unique id of this instance.")
    data_centre: Name = Field(description="Data centre that it runs in.")
    address: IPvAnyAddress = Field(description="IP number that it listens on.")
    http_port: Port = Field(description="Port for callers and operators.")
    peer_port: Port = Field(description="Port for the other instances (gRPC).")


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
    shutdown: ShutdownSettings = ShutdownSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    log: LogSettings = LogSettings()
