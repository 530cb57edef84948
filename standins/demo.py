"""Runs the whole system on loopback under a short recorded load.

Run it with ``make demo``. It starts the stand-ins and four daemons in three data
centres, replays a recorded trace while operators publish changes, prints a
summary, and exits with 1 if a promise was broken.
"""

import asyncio
import collections
import pathlib
import re
import statistics
import sys
import tempfile
import time
from typing import NamedTuple

from lab.deployments import DEPLOYMENTS
from lab.traces import make_trace
from skylarkpost.config.token_estimate import estimate_prompt_tokens
from standins.answers import answer_tokens
from standins.fleet import Fleet, FleetShape
from standins.operations import Caller, issue_key, items_toml, publish, run_cli

__all__ = ["main"]

SEED = 1
DURATION_S = 30.0
ADAPTERS = 60
OVERLOADED_TEAM = "sandveld"
CHARACTERS_PER_TOKEN = 4
STARTUP_S = 30.0
PROPAGATION_S = 5.0
STALL_LINE = re.compile(
    r'^skylarkpost_load_stall_seconds_(count|sum)\{team="([^"]*)"\} (\S+)$',
    re.MULTILINE,
)
CHANGE_AT = 0.3
WITHDRAW_AT = 0.5
SLOTS = 8
DEPLOYMENT = DEPLOYMENTS["kalahari"]._replace(adapters=ADAPTERS)
SETTINGS = """
[limits]
slots = {windhoek-a = 2, windhoek-b = 1, okahandja = 1}
"""


class Result(NamedTuple):
    """Outcome of one replayed request.

    Attributes
    ----------
    request : lab.traces.Request
        Request of the trace.
    sent_at : float
        Seconds since the start of the replay.
    first_token : float or None
        Seconds from sending to the first chunk of the answer.
    reply : standins.operations.Reply
        Answer received.
    tokens : int
        Tokens of the prompt and of the answer. The charge at admission for an
        answer that turns out shorter is refunded, so it is not counted.
    is_correct : bool
        Whether the answer is complete and from the right adapter and version.
    """

    request: object
    sent_at: float
    first_token: float | None
    reply: object
    tokens: int
    is_correct: bool


class Demo:
    """One run of the demo.

    Parameters
    ----------
    fleet : standins.fleet.Fleet
        Running system.
    trace : list of lab.traces.Request
        Requests to replay.
    """

    def __init__(self, *, fleet, trace):
        self.fleet = fleet
        self.trace = trace
        self.callers = {}
        self.started_at = 0.0
        self.results = []
        self.broken_promises = []
        self.changed_profile = collections.Counter(
            request.adapter for request in trace
        ).most_common(1)[0][0]
        self.changed_at = None

    async def run(self):
        """Publish the configuration, replay the trace, check it and print a report.

        Returns
        -------
        bool
            Whether every promise was kept.
        """
        await self._publish()
        await self.fleet.wait_ready()
        await self._wait_for_stewards()
        print(f"replaying {len(self.trace)} requests in {DURATION_S:.0f} s", flush=True)
        self.started_at = time.monotonic()
        operators = asyncio.create_task(self._run_operator())
        replays = [self._replay(request) for request in self.trace]
        self.results = await asyncio.gather(*replays)
        await operators
        await self._check()
        await self._report()
        return not self.broken_promises

    async def _publish(self):
        teams = {team.name: (team.rate, team.burst) for team in DEPLOYMENT.teams}
        profiles = {
            request.adapter: (request.adapter, "1", [request.team], 9 - request.urgency)
            for request in self.trace
        }
        text = items_toml(self.fleet, teams=teams, profiles=profiles, slots=SLOTS)
        printed = await publish(self.fleet, text, reason="morning")
        print(f"published {len(printed)} items", flush=True)
        for team in teams:
            key, _ = await issue_key(self.fleet, team)
            self.callers[team] = Caller(fleet=self.fleet, key=key)

    async def _wait_for_stewards(self):
        async with asyncio.timeout(STARTUP_S):
            while not await self._all_have_stewards():
                await asyncio.sleep(0.2)

    async def _all_have_stewards(self):
        for instance, _ in self.fleet.shape.instances:
            status = await self.fleet.get(instance, "/admin/status")
            stewards = status["controllers"]["stewardship"]["stewards"]
            if not stewards or None in stewards.values():
                return False
        return True

    async def _replay(self, request):
        await asyncio.sleep(request.at)
        prompt = _prompt(request)
        pieces = []
        sent_at = time.monotonic()
        local_instances = [
            name
            for name, data_centre in self.fleet.shape.instances
            if data_centre == request.data_centre
        ]
        reply = await self.callers[request.team].chat(
            local_instances[request.number % len(local_instances)],
            request.adapter,
            prompt,
            on_chunk=lambda piece: pieces.append(time.monotonic()),
            seed=request.number,
            max_tokens=request.max_tokens,
        )
        content = {"messages": [{"role": "user", "content": prompt}]}
        return Result(
            request=request,
            sent_at=sent_at - self.started_at,
            first_token=pieces[0] - sent_at if pieces else None,
            reply=reply,
            tokens=estimate_prompt_tokens(content) + len(pieces),
            is_correct=self._is_correct(request, prompt, sent_at, reply),
        )

    def _is_correct(self, request, prompt, sent_at, reply):
        versions = self._allowed_versions(request.adapter, sent_at)
        expected = {
            "".join(
                answer_tokens(
                    f"{request.adapter}@{version}",
                    f"user: {prompt}",
                    request.number,
                    request.max_tokens,
                )
            )
            for version in versions
        }
        return reply.complete and reply.text in expected

    def _allowed_versions(self, adapter, sent_at):
        if adapter != self.changed_profile:
            return {"1"}
        if self.changed_at is not None and sent_at >= self.changed_at + PROPAGATION_S:
            return {"2"}
        return {"1", "2"}

    async def _run_operator(self):
        await asyncio.sleep(DURATION_S * CHANGE_AT)
        path = self.fleet.directory / "items.toml"
        name = self.changed_profile
        text = path.read_text().replace(
            f'adapter = "{name}"\nversion = "1"', f'adapter = "{name}"\nversion = "2"'
        )
        await publish(self.fleet, text, reason="new version")
        self.changed_at = time.monotonic()
        print(f"published version 2 of {name} while traffic runs", flush=True)
        await asyncio.sleep(DURATION_S * (WITHDRAW_AT - CHANGE_AT))
        await self._withdraw()

    async def _withdraw(self):
        key, key_hash = await issue_key(self.fleet, OVERLOADED_TEAM)
        caller = Caller(fleet=self.fleet, key=key)
        code, printed = await run_cli(self.fleet, "key", "withdraw", key_hash)
        if code != 0:
            self.broken_promises.append(f"a key could not be withdrawn: {printed}")
        await asyncio.sleep(PROPAGATION_S)
        for instance, _ in self.fleet.shape.instances:
            reply = await caller.chat(instance, self.changed_profile, "still there?")
            if reply.status != 401:
                self.broken_promises.append(
                    f"a withdrawn key still works at {instance}"
                )
        print("issued and withdrew a key", flush=True)

    async def _check(self):
        wrong = [
            result
            for result in self.results
            if result.reply.status == 200 and not result.is_correct
        ]
        if wrong:
            self.broken_promises.append(
                f"{len(wrong)} answers are not whole or not right"
            )
        for name, _ in self.fleet.shape.engines:
            violations = await self.fleet.get(name, "/violations")
            if any(violations.values()):
                self.broken_promises.append(f"{name}: {violations}")
            for caller in self.callers.values():
                key = caller.headers["Authorization"].removeprefix("Bearer ")
                seen = await self.fleet.get(name, f"/seen?contains={key}")
                if seen["count"]:
                    self.broken_promises.append(f"{name} saw a key")
        for team in DEPLOYMENT.teams:
            self._check_team(team)

    def _check_team(self, team):
        team_results = [r for r in self.results if r.request.team == team.name]
        admitted = sorted(
            (r.sent_at, r.tokens) for r in team_results if r.reply.status == 200
        )
        # Admission happens between sending and the answer, so its time may differ
        # slightly from the time of sending.
        slack = team.rate * 2.0
        if excess_over_bucket(admitted, team.rate, team.burst) > slack:
            self.broken_promises.append(f"{team.name} got more than its rate and burst")
        refused = sum(r.reply.status == 429 for r in team_results)
        if team.name != OVERLOADED_TEAM and refused:
            self.broken_promises.append(
                f"{team.name} was refused {refused} times within rate"
            )

    async def _load_stalls(self):
        """Return the number and total seconds of load stalls by team."""
        counts, seconds = collections.Counter(), collections.Counter()
        for instance, _ in self.fleet.shape.instances:
            url = self.fleet.urls[instance] + "/metrics"
            async with self.fleet.http.get(url) as response:
                text = await response.text()
            for kind, team, value in STALL_LINE.findall(text):
                (counts if kind == "count" else seconds)[team] += float(value)
        return counts, seconds

    async def _report(self):
        counts, seconds = await self._load_stalls()
        header = f"{'first token s':>30}{'load stalls':>20}"
        print(f"\n{'team':<14}{'sent':>6}{'answered':>10}{header}")
        header = f"{'p50':>10}{'p95':>10}{'max':>10}{'number':>10}{'mean s':>10}"
        print(f"{'':<14}{'':>6}{'':>10}{header}")
        for team in DEPLOYMENT.teams:
            team_results = [r for r in self.results if r.request.team == team.name]
            answered = [r for r in team_results if r.reply.status == 200]
            waits = sorted(r.first_token for r in answered if r.first_token is not None)
            row = f"{team.name:<14}{len(team_results):>6}{len(answered):>10}"
            if waits:
                p95 = waits[int(0.95 * (len(waits) - 1))]
                row += (
                    f"{statistics.median(waits):>10.3f}{p95:>10.3f}{waits[-1]:>10.3f}"
                )
            stalls = counts[team.name]
            mean = seconds[team.name] / stalls if stalls else 0.0
            print(f"{row}{stalls:>10.0f}{mean:>10.3f}")
        reasons = collections.Counter(
            r.reply.error["code"] for r in self.results if r.reply.error
        )
        print("\nrefused by reason:", dict(reasons) or "none")
        print(f"overloading team: {OVERLOADED_TEAM}")
        for promise in self.broken_promises:
            print("BROKEN:", promise)
        print("promises kept" if not self.broken_promises else "promises broken")


def excess_over_bucket(admitted, rate, burst):
    """Return the largest excess over ``burst + rate * t`` tokens in any interval.

    Parameters
    ----------
    admitted : list of (float, float)
        Time in seconds and tokens of each admission, ordered by time.
    rate, burst : float
        Refill rate in tokens per second, and bucket size in tokens.

    Returns
    -------
    float
    """
    level, last, worst = 0.0, 0.0, float("-inf")
    for at, tokens in admitted:
        level = max(0.0, level - rate * (at - last)) + tokens
        last = at
        worst = max(worst, level - burst)
    return worst


def _prompt(request):
    preamble = f"rules of {request.adapter}. "
    length = request.preamble_tokens * CHARACTERS_PER_TOKEN
    preamble = (preamble * (length // len(preamble) + 1))[:length]
    tail = f"question {request.number} "
    return preamble + (tail * request.tail_tokens)[: request.tail_tokens * 4]


async def _run():
    trace = make_trace(
        DEPLOYMENT, seed=SEED, duration=DURATION_S, overload=OVERLOADED_TEAM
    )
    shape = FleetShape(
        instances=tuple((i.name, i.data_centre) for i in DEPLOYMENT.instances),
        engines=tuple((t.name, t.data_centre) for t in DEPLOYMENT.targets),
        services=(
            ("booking-desk-1", "windhoek-a"),
            ("booking-desk-2", "windhoek-b"),
            ("booking-desk-3", "okahandja"),
        ),
        engine_arguments=("--slots", str(SLOTS)),
        settings=SETTINGS,
    )
    with tempfile.TemporaryDirectory(prefix="skylarkpost-demo-") as directory:
        async with Fleet(shape=shape, directory=pathlib.Path(directory)) as fleet:
            print(f"started {len(fleet.processes)} processes", flush=True)
            return await Demo(fleet=fleet, trace=trace).run()


def main():
    """Run the demo; exit with 1 if a promise was broken."""
    sys.exit(0 if asyncio.run(_run()) else 1)


if __name__ == "__main__":
    main()
