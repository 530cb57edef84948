import asyncio
import itertools
import json
import subprocess
import sys

import pytest
import pytest_asyncio

from standins.answers import answer_tokens
from standins.operations import Caller, issue_key, run_cli
from tests.processes.fleets import (
    IN_FORCE_S,
    answers,
    eventually,
    expected_text,
    running_fleet,
)

pytestmark = [pytest.mark.processes, pytest.mark.asyncio(loop_scope="module")]

LONG_TOKENS = 60
PROMPT = "wear report of kilometre 12"


@pytest.fixture(scope="module")
def directory(tmp_path_factory):
    return tmp_path_factory.mktemp("fleet")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def running(directory):
    slow = ("--step-time", "0.05")
    async with running_fleet(directory, engine_arguments=slow) as fleet_and_caller:
        yield fleet_and_caller


def long_answer(lora_name):
    """Return request options with which the answer takes some seconds."""
    for seed in itertools.count():
        tokens = answer_tokens(lora_name, f"user: {PROMPT}", seed, 1000)
        if len(tokens) >= LONG_TOKENS:
            return {"seed": seed, "max_tokens": 1000}


async def test_each_instance_answers_whole_and_streamed_on_the_right_adapter(running):
    fleet, caller = running
    options = {"seed": 3, "max_tokens": 20}
    expected = expected_text("corridor-1@1", PROMPT, **options)
    for instance, _ in fleet.shape.instances:
        whole = await caller.chat(instance, "plan-1", PROMPT, **options)
        streamed = await caller.chat(
            instance, "plan-1", PROMPT, on_chunk=lambda piece: None, **options
        )
        assert (whole.status, whole.text) == (200, expected)
        assert (streamed.complete, streamed.text) == (True, expected)


async def test_bad_requests_say_what_was_wrong_and_that_nothing_ran(running):
    fleet, caller = running
    bad = await caller.chat("entry-1", "plan-1", PROMPT, max_tokens=0)
    assert (bad.status, bad.error["code"]) == (400, "bad-request")
    assert "max_tokens" in bad.error["message"]
    unknown = await caller.chat("entry-1", "no-such-plan", PROMPT)
    assert (unknown.status, unknown.error["run_state"]) == (404, "not-run")
    anonymous = Caller(fleet=fleet, key=None)
    refused = await anonymous.chat("entry-1", "plan-1", PROMPT)
    assert (refused.status, refused.error["code"]) == (401, "key-missing")


async def test_only_the_team_of_the_key_is_served(running):
    fleet, _ = running
    key, _ = await issue_key(fleet, "owner")
    owner = Caller(fleet=fleet, key=key)

    async def is_known():
        reply = await owner.chat("entry-2", "plan-1", PROMPT)
        return reply.error["code"] == "profile-forbidden"

    await eventually(is_known)


async def test_plain_services_are_reached_and_open_routes_need_no_key(running):
    fleet, caller = running
    reply = await caller.call("entry-3", "GET", "/services/roster/days/7?crew=2")
    assert json.loads(reply.text)["path"] == "/days/7"
    anonymous = Caller(fleet=fleet, key=None)
    is_open = await anonymous.call("entry-3", "GET", "/services/opening-hours/today")
    assert is_open.status == 200
    refused = await anonymous.call("entry-3", "GET", "/services/roster/days/7")
    assert refused.status == 401


async def test_a_new_version_of_a_profile_is_in_force_on_all_instances(running):
    fleet, caller = running
    text = (fleet.directory / "items.toml").read_text()
    text = text.replace(
        'adapter = "corridor-2"\nversion = "1"', 'adapter = "corridor-2"\nversion = "2"'
    )
    path = fleet.directory / "second.toml"
    path.write_text(text)
    code, printed = await run_cli(fleet, "apply", str(path), "--reason", "new version")
    assert code == 0, printed
    for instance, _ in fleet.shape.instances:

        async def is_new(instance=instance):
            reply = await caller.chat(instance, "plan-2", PROMPT, max_tokens=2)
            return reply.text.startswith("[corridor-2@2]")

        await eventually(is_new)


async def test_a_withdrawn_key_stops_new_requests_and_open_streams(running):
    fleet, _ = running
    key, key_hash = await issue_key(fleet, "depot")
    caller = Caller(fleet=fleet, key=key)
    instances = [name for name, _ in fleet.shape.instances]
    for instance in instances:
        await eventually(lambda i=instance: answers(caller, i))
    started = asyncio.Event()
    stream = asyncio.create_task(
        caller.chat(
            "entry-4",
            "plan-1",
            PROMPT,
            on_chunk=lambda piece: started.set(),
            **long_answer("corridor-1@1"),
        )
    )
    await asyncio.wait_for(started.wait(), IN_FORCE_S)
    code, printed = await run_cli(fleet, "key", "withdraw", key_hash)
    assert code == 0, printed

    async def is_refused(instance):
        reply = await caller.chat(instance, "plan-1", PROMPT, max_tokens=2)
        return reply.status == 401 and reply.error["code"] == "key-withdrawn"

    for instance in instances:
        await eventually(lambda i=instance: is_refused(i))
    reply = await asyncio.wait_for(stream, IN_FORCE_S)
    assert not reply.complete
    assert reply.error["code"] == "key-withdrawn"
    assert reply.error["run_state"] == "may-have-run"


async def test_no_key_reaches_a_target_a_log_or_the_platform(running):
    fleet, caller = running
    key = caller.headers["Authorization"].removeprefix("Bearer ")
    for path in (f"/services/opening-hours/{key}", f"/services/roster/a?api_key={key}"):
        reply = await caller.call("entry-1", "GET", path)
        assert (reply.status, reply.error["code"]) == (400, "key-in-content")
    reply = await caller.chat("entry-2", "plan-1", f"my key is {key}")
    assert reply.error["code"] == "key-in-content"
    targets = [name for name, _ in (*fleet.shape.engines, *fleet.shape.services)]
    seen = [await fleet.get(name, f"/seen?contains={key}") for name in targets]
    assert [answer["count"] for answer in seen] == [0] * len(targets)
    known = [await fleet.get(name, "/seen?contains=kilometre") for name in targets]
    assert sum(answer["count"] for answer in known) > 0
    for name in fleet.processes:
        assert key not in fleet.processes[name].log_path.read_text()
    for stream in ("config", "state", "claims"):
        records = await fleet.get(
            "log", f"/streams/{stream}/records?from=0&limit=10000"
        )
        assert key not in json.dumps(records)


async def test_a_request_can_be_explained(running):
    fleet, caller = running
    reply = await caller.chat("entry-1", "plan-1", PROMPT, max_tokens=2)
    urls = ",".join(fleet.urls[name] for name, _ in fleet.shape.instances)
    completed = await asyncio.to_thread(
        subprocess.run,
        [
            *(sys.executable, "-m", "skylarkpost.cli", "explain", reply.request_id),
            *("--json", "--instances", urls),
        ],
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 0, completed.stderr
    assert "placement" in completed.stdout and "plan-assist" in completed.stdout


async def test_no_violation_or_broken_invariant_has_occurred(running):
    fleet, _ = running
    for name, _ in fleet.shape.engines:
        violations = await fleet.get(name, "/violations")
        assert set(violations.values()) == {0}, (name, violations)
    for name, _ in fleet.shape.instances:
        assert "invariant-broken" not in fleet.processes[name].log_path.read_text()
