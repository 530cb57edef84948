import asyncio
import contextlib
import json

import aiohttp
import pytest

from standins.answers import answer_tokens, prefix_hashes
from standins.common import serving
from standins.engine import EngineStandIn
from standins.engine_options import EngineOptions
from standins.weights import WeightStoreStandIn, load_duration

FAST = {"step_time": 0.002}


@contextlib.asynccontextmanager
async def engine(**options):
    stand_in = EngineStandIn(options=EngineOptions(**(FAST | options)))
    async with serving(stand_in) as urls, aiohttp.ClientSession(urls[0]) as http:
        yield stand_in, http


async def order(http, path, name="a@1", **headers):
    adapter, _, version = name.partition("@")
    body = {"lora_name": name, "weight_name": adapter, "version": version}
    headers = {"X-Fencing-Number": "1"} | headers
    async with http.post(f"/v1/{path}_lora_adapter", json=body, headers=headers) as r:
        return r.status, await r.json()


def post_completion(http, request_id, prompt="hello", name="a@1", **content):
    body = {"model": name, "prompt": prompt, "max_tokens": 6, **content}
    return http.post("/v1/completions", json=body, headers={"X-Request-Id": request_id})


async def read_events(response, count=None):
    events = []
    async for line in response.content:
        if line.startswith(b"id: "):
            number = int(line[4:])
        if line.startswith(b"data: "):
            events.append((number, line[6:].decode().strip()))
        if count is not None and len(events) == count:
            break
    return events


def text_of(events):
    chunks = [json.loads(data) for _, data in events if data != "[DONE]"]
    return [chunk["choices"][0]["text"] for chunk in chunks]


async def test_answers_are_whole_and_name_the_adapter():
    expected = answer_tokens("a@1", "hello", None, 6)
    async with engine() as (_, http):
        assert (await order(http, "load"))[0] == 200
        async with post_completion(http, "r.1") as response:
            answer = await response.json()
        assert answer["choices"][0]["text"] == "".join(expected)
        async with post_completion(http, "r.2", stream=True) as response:
            events = await read_events(response)
        assert [number for number, _ in events] == list(range(1, 8))
        assert text_of(events) == expected


async def test_a_broken_stream_is_resumed_without_gap_and_a_cancelled_one_is_not():
    async with engine(step_time=0.02) as (_, http):
        await order(http, "load")
        async with post_completion(http, "r.1", stream=True) as response:
            first = await read_events(response, count=2)
        async with http.get("/v1/streams/r.1?after=2") as response:
            rest = await read_events(response)
        assert text_of(first + rest) == answer_tokens("a@1", "hello", None, 6)
        async with (
            post_completion(http, "r.2", stream=True),
            http.delete("/v1/streams/r.2"),
        ):
            pass
        async with http.get("/v1/streams/r.2") as response:
            assert response.status == 404


async def test_what_cannot_run_is_refused_before_it_runs():
    async with engine(slots=1) as (stand_in, http):
        async with post_completion(http, "r.1") as response:
            assert response.status == 404
            assert (await response.json())["error"]["code"] == "adapter-not-loaded"
        await order(http, "load", **{"X-Fencing-Number": "7"})
        assert (await order(http, "load", "b@1"))[1]["error"]["code"] == (
            "stale-fencing-number"
        )
        newer = {"X-Fencing-Number": "8"}
        assert (await order(http, "load", "b@1", **newer))[1]["error"]["code"] == (
            "no-slot"
        )
        wrong = {"X-Target-Boot": "other", **newer}
        assert (await order(http, "unload", **wrong))[1]["error"]["code"] == (
            "wrong-boot"
        )
        assert stand_in.counts == {}


async def test_fencing_is_ignored_where_set_and_evictions_in_use_are_counted():
    async with engine(check_fencing=False, step_time=0.02) as (_, http):
        await order(http, "load", **{"X-Fencing-Number": "7"})
        async with post_completion(http, "r.1", stream=True) as response:
            await read_events(response, count=1)
            assert (await order(http, "unload", **{"X-Fencing-Number": "1"}))[0] == 200
        async with http.get("/violations") as response:
            assert await response.json() == {"evicted_in_use": 1, "wrong_adapter": 0}


async def test_weights_loaded_under_another_name_show_in_the_answer():
    body = {"lora_name": "a@1", "weight_name": "a", "version": "2"}
    async with engine(check_fencing=False) as (stand_in, http):
        async with http.post("/v1/load_lora_adapter", json=body):
            pass
        async with post_completion(http, "r.1") as response:
            text = (await response.json())["choices"][0]["text"]
        assert text.startswith("[a@2]")
        assert stand_in.model.wrong_adapter == 1


@pytest.mark.parametrize("fault", ["restart", "crash_marker"])
async def test_a_restart_drops_all_and_comes_back_empty(fault):
    async with engine(step_time=0.02) as (stand_in, http):
        await order(http, "load")
        boot = stand_in.model.boot
        async with post_completion(
            http, "r.1", stream=True, max_tokens=60
        ) as other_response:
            await read_events(other_response, count=1)
            if fault == "restart":
                async with http.post("/switches", json={"restart": True}):
                    pass
            else:
                stand_in.switches.crash_marker = "KILL"
                with pytest.raises(aiohttp.ClientError):
                    async with post_completion(
                        http, "r.2", prompt="please KILL"
                    ) as response:
                        await response.read()
            with pytest.raises(aiohttp.ClientError):
                await read_events(other_response)
        async with http.get("/load") as response:
            load = await response.json()
        assert load["boot"] != boot
        assert load["resident"] == []


async def test_open_connections_go_silent_while_new_ones_work():
    async with engine(step_time=0.02) as (_, http):
        await order(http, "load")
        async with post_completion(http, "r.1", stream=True) as response:
            first = await read_events(response, count=1)
            async with http.post("/switches", json={"silence_connections": True}):
                pass
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await read_events(response)
        async with (
            aiohttp.ClientSession(http._base_url) as new,
            new.get("/v1/streams/r.1?after=1") as response,
        ):
            rest = await read_events(response)
        assert text_of(first + rest) == answer_tokens("a@1", "hello", None, 6)


async def test_the_batch_serves_the_urgent_first_and_the_cache_is_limited():
    async with engine(batch_limit=1, cache_blocks=2) as (stand_in, http):
        await order(http, "load")
        model = stand_in.model
        long_prompt = "x" * 1536

        async def run(request_id, priority):
            async with post_completion(
                http, request_id, long_prompt, priority=priority
            ) as r:
                await r.read()

        async with asyncio.TaskGroup() as group:
            for request_id, priority in (("first", 0), ("late", 9), ("soon", 1)):
                group.create_task(run(request_id, priority))
                await asyncio.sleep(0.005)
        assert list(stand_in.counts) == ["first", "soon", "late"]
        assert len(model.cache.blocks) == 2
        async with http.get("/events?after=0") as response:
            shown = await response.json()
        hashes = prefix_hashes("a@1", long_prompt)
        assert [e["prefix"] for e in shown["events"][:2]] == hashes[:2]
        assert "dropped" in {e["kind"] for e in shown["events"]}


async def test_loads_come_from_the_weight_store_and_can_fail_one_by_one():
    store = WeightStoreStandIn()
    store.switches.load_time = 0.01
    store.switches.broken = ["b"]
    async with serving(store) as store_urls:
        stand_in = EngineStandIn(weights_url=store_urls[0])
        async with serving(stand_in) as urls, aiohttp.ClientSession(urls[0]) as http:
            assert (await order(http, "load"))[0] == 200
            assert (await order(http, "load", "b@1"))[1]["error"]["code"] == (
                "load-failed"
            )
            assert store.delivered == 1
    assert load_duration(0.25, 8) == 0.25
    assert load_duration(0.25, 16) == 0.5


async def test_a_search_finds_what_came_in_any_part_of_a_request():
    async with engine() as (_, http):
        async with http.get("/load?x=IN-QUERY", headers={"A": "IN-HEADER"}):
            pass
        async with post_completion(http, "r.1", prompt="IN-BODY"):
            pass
        for text, count in (
            ("IN-QUERY", 1),
            ("IN-HEADER", 1),
            ("IN-BODY", 1),
            ("NO", 0),
        ):
            async with http.get(f"/seen?contains={text}") as response:
                assert (await response.json())["count"] == count


async def test_a_stream_outlives_its_connection_for_a_short_time_only():
    async with engine(step_time=0.02, resume_window=0.1) as (stand_in, http):
        await order(http, "load")
        async with post_completion(http, "r.1", stream=True, max_tokens=60) as response:
            await read_events(response, count=1)
        stream = stand_in.model.streams["r.1"]
        async with asyncio.timeout(5.0):
            while stream.active:
                await asyncio.sleep(0.01)
        assert stream.state == "cancelled"


async def test_a_frozen_engine_accepts_and_does_nothing():
    async with engine(step_time=0.02) as (stand_in, http):
        await order(http, "load")
        async with post_completion(http, "r.1", stream=True) as response:
            first = await read_events(response, count=1)
            stand_in.switches.frozen = True
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2), http.get("/load"):
                    pass
            stand_in.switches.frozen = False
            rest = await read_events(response)
        assert text_of(first + rest) == answer_tokens("a@1", "hello", None, 6)


async def test_reports_lag_and_cache_events_come_late_and_with_gaps():
    async with engine() as (stand_in, http):
        async with http.get("/load") as response:
            first = await response.json()
        await order(http, "load")
        stand_in.switches.report_lag = 1000.0
        async with http.get("/load") as response:
            assert (await response.json())["taken_at"] <= first["taken_at"]
        async with post_completion(http, "r.1", "x" * 512 * 40) as response:
            await response.read()
        stand_in.switches.event_lag = 1000.0
        async with http.get("/events?after=0") as response:
            assert (await response.json())["events"] == []
        stand_in.switches.event_lag = 0.0
        stand_in.switches.event_gaps = 0.5
        async with http.get("/events?after=0") as response:
            answer = await response.json()
        assert answer["next"] == 40
        assert 0 < len(answer["events"]) < 40


async def test_cached_prefixes_move_to_another_engine():
    async with engine() as (_, source), engine() as (stand_in, destination):
        await order(source, "load")
        async with post_completion(source, "r.1", "x" * 1024) as response:
            await response.read()
        async with source.post("/kv/export") as response:
            exported = await response.json()
        async with destination.post("/kv/import", json=exported):
            pass
        assert list(stand_in.model.cache.blocks) == prefix_hashes("a@1", "x" * 1024)
