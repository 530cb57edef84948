"""Capacity, speed and faults of the stand-in engine."""

import msgspec

from standins.common import Switches

__all__ = ["EngineOptions", "EngineSwitches"]


class EngineOptions(msgspec.Struct, kw_only=True):
    """Capacity and speed of an engine.

    Parameters
    ----------
    slots : int
        Adapters that can be resident at once.
    batch_limit : int
        Requests that can run at once.
    max_waiting : int
        Requests that can wait at once.
    step_time : float
        Duration of one batch step, in seconds.
    tokens_per_step : int
        Tokens generated for each running request in a step.
    prefill_tokens : int
        Prompt tokens processed in a step, summed over all requests.
    cache_blocks : int
        Blocks of 512 characters that the prefix cache holds.
    resume_window : float
        Seconds that a stream can be resumed after its connection is lost.
    check_fencing : bool
        Whether requests and orders with an outdated fencing number are refused.
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
        Restart once, immediately: new boot id, empty state, all connections reset.
    frozen : bool
        Keep accepting connections, but neither run steps nor answer.
    silence_connections : bool
        Once, immediately: currently open connections stay silent permanently;
        new ones work.
    crash_marker : str
        A request whose prompt contains this text restarts the engine when it
        starts to run; empty disables this.
    failing_loads : list of str
        Adapters, or ``adapter@version``, whose loads fail.
    load_delay : float
        Seconds added to each load.
    lose_answers : int
        Number of next orders that take effect and lose their answers.
    report_lag, event_lag : float
        Delay of load reports and of cache events, in seconds.
    event_gaps : float
        Probability that a cache event is left out of an answer.
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
