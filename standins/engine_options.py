"""Sizes, speeds and faults of the stand-in engine."""

import msgspec

from standins.common import Switches

__all__ = ["EngineOptions", "EngineSwitches"]


class EngineOptions(msgspec.Struct, kw_only=True):
    """Sizes and speeds of an engine.

    Parameters
    ----------
    slots : int
        Adapters resident at once.
    batch_limit : int
        Requests running at once.
    max_waiting : int
        Requests waiting at once.
    step_time : float
        Seconds of one step.
    tokens_per_step : int
        Tokens that each running request gets in a step.
    prefill_tokens : int
        Prompt tokens processed in a step, over all requests.
    cache_blocks : int
        Blocks of 512 characters that the prefix cache holds.
    resume_window : float
        Seconds that a stream outlives its connection.
    check_fencing : bool
        Whether orders with an old fencing number are refused.
    """

    slots: int = 4
    batch_limit: int = 8
    max_waiting: int = 256
    step_time: float = 0.02
    tokens_per_step: int = 1
    prefill_tokens: int = 2048
    cache_blocks: int = 256
    resume_window: float = 2.0
    check_fencing: bool = True


class EngineSwitches(Switches, kw_only=True):
    """Faults of an engine.

    Parameters
    ----------
    restart : bool
        Restart once, now: a new boot, empty, all connections dropped.
    frozen : bool
        Go on accepting connections, and do nothing else.
    silence_connections : bool
        Once, now: open connections go silent for good; new ones work.
    crash_marker : str
        A request whose body holds this text restarts the engine as it begins
        to run; empty for none.
    failing_loads : list of str
        Adapters whose loads fail.
    load_delay : float
        Further seconds of each load.
    lose_answers : int
        The next orders take effect and lose their answers.
    report_lag, event_lag : float
        Seconds by which load reports and cache events are late.
    event_gaps : float
        Probability that a cache event is never shown.
    """

    restart: bool = False
    frozen: bool = False
    silence_connections: bool = False
    crash_marker: str = ""
    failing_loads: list[str] = []
    load_delay: float = 0.0
    lose_answers: int = 0
    report_lag: float = 0.0
    event_lag: float = 0.0
    event_gaps: float = 0.0
