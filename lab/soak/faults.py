"""Fault kinds that the soak test can inject."""

import asyncio
import pathlib
import signal

from lab.soak.plan import fault_kind

DELAY_S = 0.15
RESTART_PAUSE_S = 0.3
SIGNAL_CHECK_S = 0.02
LOST_APPENDS = 3
# How long the store is away before it comes back from a copy, and then until the
# operator and the targets have written again.
RESTORE_AWAY_S = 1.0
WRITTEN_AGAIN_S = 1.0
# Requests a second; a fraction of what callers send to each target.
REQUEST_LIMIT = 3.0
# Pause that a target, or all targets of the fleet, ask for.
PAUSE_S = 1.5
ALL_PAUSE_S = 1.0
# Script entries of a target that make consecutive requests fail in different ways.
FAULTY_ANSWERS = (
    "drop",
    "fail",
    "shed",
    "break",
    "late",
    "unsigned",
    "half-head",
    "unframed-slow",
)
# Three transmissions of an order, and those of another one.
LOST_ORDERS = 4
# Another writer's entry, nested deeper than any decoder descends.
ODD_ENTRY = b'{"unasked": ' + b"[" * 20_000 + b"]" * 20_000 + b"}"


@fault_kind("instance-killed", subjects="instances")
async def kill_instance(run, number, duration):
    """Kill a gateway and start it again."""
    await run.gateways[number].kill()
    await asyncio.sleep(RESTART_PAUSE_S)
    await run.start_gateway(number)


@fault_kind("instance-paused", subjects="instances")
async def pause_instance(run, number, duration):
    """Suspend a gateway's process for the duration."""
    process = run.gateways[number]
    process.send(signal.SIGSTOP)
    await asyncio.sleep(duration)
    process.send(signal.SIGCONT)


@fault_kind("instance-restarted", subjects="instances")
async def restart_instance(run, number, duration):
    """Terminate a gateway and start it again."""
    await run.gateways[number].stop()
    await run.start_gateway(number)


@fault_kind("instance-reloaded", subjects="instances")
async def reload_instance(run, number, duration):
    """Signal a gateway to reload its settings, possibly during startup."""
    process = run.gateways[number]
    # SIGHUP would kill the process before its interpreter runs and can handle it.
    while process.is_running() and not _handles_sighup(process.child.pid):
        await asyncio.sleep(SIGNAL_CHECK_S)
    process.send(signal.SIGHUP)


@fault_kind("store-link-silent", subjects="instances")
async def silence_store_link(run, number, duration):
    """Cut a gateway off the store; open connections stay silent."""
    await _silence(run.store_links[number], duration)


@fault_kind("store-link-one-way", subjects="instances")
async def cut_store_answers(run, number, duration):
    """Deliver calls to the store but lose its answers."""
    run.store_links[number].cut_back = True
    await asyncio.sleep(duration)
    run.store_links[number].cut_back = False


@fault_kind("store-link-reset", subjects="instances")
async def reset_store_link(run, number, duration):
    """Reset a gateway's connections to the store."""
    run.store_links[number].reset()


@fault_kind("store-busy", subjects="one")
async def keep_store_busy(run, number, duration):
    """Make the store refuse every call."""
    run.store.switches.busy = True
    await asyncio.sleep(duration)
    run.store.switches.busy = False


@fault_kind("store-silent", subjects="one")
async def silence_store(run, number, duration):
    """Make the store answer nothing."""
    run.store.switches.silent = True
    await asyncio.sleep(duration)
    run.store.switches.silent = False


@fault_kind("store-deaf", subjects="one")
async def suppress_store_wakeups(run, number, duration):
    """Make the store wake no waiting read, then truncate its history."""
    run.store.switches.deaf = True
    await asyncio.sleep(duration)
    for topic in run.store.topics.values():
        topic.truncate()
    run.store.switches.deaf = False


@fault_kind("store-loses-answers", subjects="one")
async def lose_appends(run, number, duration):
    """Make the store execute appends without answering."""
    run.store.switches.lose_appends = LOST_APPENDS


@fault_kind("store-restored", subjects="one")
async def restore_store(run, number, duration):
    """Make the store come back as it was before the fault began."""
    copied = run.store.copy()
    await asyncio.sleep(duration)
    run.store.switches.busy = True
    await asyncio.sleep(RESTORE_AWAY_S)
    await run.store.restore(copied)
    run.store.switches.busy = False
    await asyncio.sleep(WRITTEN_AGAIN_S)
    await run.write_again()


@fault_kind("target-link-slow", subjects="targets")
async def slow_target_link(run, number, duration):
    """Delay all data to and from a target."""
    run.target_links[number].delay = DELAY_S
    await asyncio.sleep(duration)
    run.target_links[number].delay = 0.0


@fault_kind("target-link-silent", subjects="targets")
async def silence_target_link(run, number, duration):
    """Cut a target off; open connections stay silent."""
    await _silence(run.target_links[number], duration)


@fault_kind("target-answers-lost", subjects="targets")
async def cut_target_answers(run, number, duration):
    """Deliver requests and orders to a target but lose its answers."""
    run.target_links[number].cut_back = True
    await asyncio.sleep(duration)
    run.target_links[number].cut_back = False


@fault_kind("target-reborn", subjects="targets")
async def restart_target(run, number, duration):
    """Restart a target with empty state under the same id."""
    await run.restart_target(number)


@fault_kind("target-odd", subjects="targets")
async def script_faulty_answers(run, number, duration):
    """Make a target's next answers fail, each in a different way."""
    run.targets[number].script += run.random.sample(FAULTY_ANSWERS, 3)


@fault_kind("target-stutters", subjects="targets")
async def repeat_call_answers(run, number, duration):
    """Make a target write the answers to reports and orders twice."""
    run.targets[number].repeats_calls = True
    await asyncio.sleep(duration)
    run.targets[number].repeats_calls = False


@fault_kind("orders-late", subjects="engines")
async def carry_out_orders_late(run, number, duration):
    """Make an engine leave orders unanswered and carry them out seconds later."""
    run.targets[number].orders_to_lose = LOST_ORDERS
    await asyncio.sleep(duration)
    run.targets[number].orders_to_lose = 0


@fault_kind("odd-entries", subjects="one")
async def write_odd_entries(run, number, duration):
    """Leave an entry that can't be decoded in each topic."""
    for topic in list(run.store.topics):
        await run.store.put(topic, "odd", ODD_ENTRY)


@fault_kind("target-limited", subjects="targets")
async def limit_target(run, number, duration):
    """Make a target name a limit on its requests."""
    run.targets[number].request_limit = REQUEST_LIMIT
    await asyncio.sleep(duration)
    run.targets[number].request_limit = None


@fault_kind("target-leaving", subjects="targets")
async def let_target_leave(run, number, duration):
    """Make a target say that it leaves, but not in the store; it serves on."""
    run.targets[number].is_leaving = True
    await asyncio.sleep(duration)
    await run.restart_target(number)


@fault_kind("target-pausing", subjects="targets")
async def pause_target(run, number, duration):
    """Make a target turn all requests away and ask for a pause."""
    run.targets[number].pause = str(PAUSE_S)
    await asyncio.sleep(duration)
    run.targets[number].pause = None


@fault_kind("all-targets-pausing", subjects="one")
async def pause_all_targets(run, number, duration):
    """Make all targets of all services ask for a pause at once."""
    for target in run.targets:
        target.pause = str(ALL_PAUSE_S)
    await asyncio.sleep(ALL_PAUSE_S)
    for target in run.targets:
        target.pause = None


@fault_kind("deadly-part", subjects="one")
async def send_deadly_part(run, number, duration):
    """Add a prompt part that crashes engines to some requests."""
    run.has_deadly_part = True
    await asyncio.sleep(duration)
    run.has_deadly_part = False


@fault_kind("callers-reset", subjects="instances")
async def reset_callers(run, number, duration):
    """Reset the callers' connections to a gateway."""
    run.front_links[number].reset()


@fault_kind("callers-silent", subjects="instances")
async def silence_callers(run, number, duration):
    """Lose what a gateway sends to its callers, then reset the connections."""
    run.front_links[number].cut_back = True
    await asyncio.sleep(duration)
    run.front_links[number].cut_back = False
    run.front_links[number].reset()


def _handles_sighup(pid):
    """Return whether a process catches or ignores SIGHUP."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except FileNotFoundError:
        return False
    masks = dict(line.split(":\t", 1) for line in status.splitlines() if ":\t" in line)
    handled = int(masks["SigCgt"], 16) | int(masks["SigIgn"], 16)
    return bool(handled & 1 << (signal.SIGHUP - 1))


async def _silence(link, duration):
    link.cut_forward = link.cut_back = True
    await asyncio.sleep(duration)
    link.cut_forward = link.cut_back = False
