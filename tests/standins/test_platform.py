import asyncio
import time

import aiohttp
import pytest

from standins.common import serving
from standins.instances import InstanceListStandIn
from standins.log import LogStandIn
from standins.service import ServiceStandIn
from standins.weights import WeightStoreStandIn

PATH = "/streams/s/records"


async def get(http, path):
    async with http.get(path) as response:
        return response.status, await response.json()


async def listed_ids(http):
    _, answer = await get(http, "/instances")
    return [entry["id"] for entry in answer["instances"]]


async def put(http, *names):
    content = {"instances": [{"id": name} for name in names]}
    async with http.put("/instances", json=content):
        pass


async def test_the_list_lags_freezes_and_disappears():
    stand_in = InstanceListStandIn()
    async with serving(stand_in) as urls, aiohttp.ClientSession(urls[0]) as http:
        await put(http, "a")
        assert await listed_ids(http) == ["a"]
        stand_in.switches.lag = 1000.0
        assert await listed_ids(http) == []
        stand_in.switches.lag = 0.0
        async with http.post("/switches", json={"frozen": True}):
            pass
        await put(http, "a", "b")
        assert await listed_ids(http) == ["a"]
        async with http.post("/switches", json={"frozen": False}):
            pass
        assert await listed_ids(http) == ["a", "b"]
        stand_in.switches.absent = True
        assert (await get(http, "/instances"))[0] == 503


async def test_a_read_waits_for_a_record_and_a_cut_port_stays_silent():
    stand_in = LogStandIn()
    async with serving(stand_in, ports=(0, 0)) as urls, aiohttp.ClientSession() as http:
        url = urls[0] + PATH
        reading = asyncio.create_task(get(http, url + "?from=0&wait=5"))
        await asyncio.sleep(0.05)
        async with http.post(url, json={"records": [{"type": "a"}]}):
            pass
        _, answer = await reading
        assert answer["records"][0]["data"] == {"type": "a"}
        stand_in.switches.cut_ports = [int(urls[1].rpartition(":")[2])]
        assert (await get(http, url))[0] == 200
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await get(http, urls[1] + PATH)


async def test_unknown_switches_and_wrong_values_are_refused():
    async with (
        serving(LogStandIn()) as urls,
        aiohttp.ClientSession(urls[0]) as http,
    ):
        for content in ({"outige": True}, {"outage": "yes"}):
            async with http.post("/switches", json=content) as response:
                assert response.status == 400
        assert (await get(http, "/switches"))[1]["outage"] is False


async def test_loads_begin_at_a_limited_rate():
    stand_in = WeightStoreStandIn()
    stand_in.switches.load_time = 0.0
    stand_in.switches.loads_per_second = 20.0
    async with serving(stand_in) as urls, aiohttp.ClientSession(urls[0]) as http:
        begun = time.monotonic()
        paths = [f"/weights/a-{number}/1" for number in range(5)]
        await asyncio.gather(*(get(http, path) for path in paths))
        # The rate limit gives a lower bound on the duration, whatever the machine load.
        assert time.monotonic() - begun >= 4 / 20.0 - 0.01
        assert stand_in.most_in_transit == 5


async def test_effects_are_counted_by_idempotency_key_then_request_id():
    async with serving(ServiceStandIn()) as urls, aiohttp.ClientSession() as http:
        for headers in (
            {"Idempotency-Key": "k", "X-Request-Id": "r-1"},
            {"Idempotency-Key": "k", "X-Request-Id": "r-2"},
            {"X-Request-Id": "r-3"},
        ):
            async with http.post(urls[0] + "/book", headers=headers):
                pass
        assert (await get(http, urls[0] + "/counts"))[1] == {"k": 2, "r-3": 1}
