"""The configuration over real processes: retention, replacement, cold starts."""

import asyncio

import aiohttp
import pytest

from standins.fleet import Fleet, FleetShape
from standins.operations import Caller, issue_key, items_toml, publish, run_cli

pytestmark = pytest.mark.processes

RETENTION_S = 16.0
SHAPE = FleetShape(
    instances=(("entry-1", "windhoek-a"), ("entry-2", "windhoek-a")),
    engines=(("plan-assist-1", "windhoek-a"),),
    services=(),
    settings=f"log_retention = {RETENTION_S}",
)
PROFILES = {f"plan-{n}": (f"corridor-{n}", "1", ["depot"], 5) for n in range(60)}


async def count_models(fleet, instance, key):
    """Return how many profiles a key may use, or the reason of the refusal."""
    headers = Caller(fleet=fleet, key=key).headers
    url = fleet.urls[instance] + "/v1/models"
    async with fleet.http.get(url, headers=headers) as response:
        content = await response.json()
    return content["error"]["code"] if "error" in content else len(content["data"])


async def replace(fleet, *instances):
    for instance in instances:
        await fleet.processes[instance].kill()
    for instance in instances:
        await fleet.start_instance(instance)


async def first_kept_offset(fleet):
    url = f"{fleet.operator_log_url}/streams/config/records?from=0&limit=1"
    async with fleet.http.get(url) as response:
        return (await response.json())["first_offset"]


async def test_configuration_outlives_retention_replacements_and_an_outage(tmp_path):
    async with Fleet(shape=SHAPE, directory=tmp_path) as fleet:
        await fleet.switch("log", retention=RETENTION_S)
        text = items_toml(fleet, teams={"depot": (100.0, 500.0)}, profiles=PROFILES)
        results = await publish(fleet, text, reason="first items")
        key, _ = await issue_key(fleet, "depot")
        withdrawn, key_hash = await issue_key(fleet, "depot")
        code, printed = await run_cli(fleet, "key", "withdraw", key_hash)
        assert code == 0, printed
        await fleet.wait_ready()
        async with asyncio.timeout(4 * RETENTION_S):
            while await first_kept_offset(fleet) <= len(results) + 3:
                await asyncio.sleep(0.5)

        # No peer has state: both read the log, which holds only restatements.
        await replace(fleet, "entry-1", "entry-2")
        await fleet.wait_ready()
        for instance in ("entry-1", "entry-2"):
            assert await count_models(fleet, instance, key) == len(PROFILES)
            assert await count_models(fleet, instance, withdrawn) != len(PROFILES)
        _, listed = await run_cli(fleet, "list", "profile")
        versions = {item["name"]: item["config_version"] for item in listed}
        assert versions == {
            r["name"]: r["version"] for r in results if r["kind"] == "profile"
        }

        # The log is down: a cold instance can become ready only through its peer.
        await fleet.switch("log", outage=True)
        await replace(fleet, "entry-2")
        async with asyncio.timeout(4 * RETENTION_S):
            while not await models_arrive(fleet, "entry-2", key):
                await asyncio.sleep(0.2)
        assert await count_models(fleet, "entry-2", withdrawn) != len(PROFILES)


async def models_arrive(fleet, instance, key):
    try:
        return await count_models(fleet, instance, key) == len(PROFILES)
    except aiohttp.ClientConnectionError:
        return False
