"""Relay with two stand-in engines and fakes for stewardship and quarantine."""

import contextlib
import json
import time
import types

import aiohttp

from skylarkpost.filters import Exchange
from skylarkpost.metrics import Metrics
from skylarkpost.outcomes import Reason, Refused
from skylarkpost.quarantine import Clear, Quarantined
from skylarkpost.relay import RetryBudget
from skylarkpost.relay.controller import RelayController
from skylarkpost.relay.model_answer import ModelAnswer
from skylarkpost.stewardship.held_tickets import Ticket
from skylarkpost.targets import EngineClient
from standins.answers import answer_tokens
from standins.common import serving
from standins.engine import EngineStandIn
from standins.engine_model import Weights
from standins.engine_options import EngineOptions

LORA = "corridor@3"
PROMPT = "summarise kilometre 12"
SEED = 7
TOKENS = 24
PROFILE = types.SimpleNamespace(urgency=5, adapter="corridor", version="3")
EXPECTED = answer_tokens(LORA, PROMPT, SEED, TOKENS)


class FakeStewardship:
    """Issues a ticket for the first engine that is not in `avoid`."""

    def __init__(self, engines):
        self.engines = engines
        self.released = []
        self.valid = True

    async def acquire(self, exchange, *, avoid, now):
        for name, (stand_in, address) in self.engines.items():
            if name not in avoid:
                boot = stand_in.model.boot
                return Ticket("t", "engine", name, address, boot, LORA, 1, now + 10.0)
        return Refused(reason=Reason.NO_TARGET, message="No target.")

    def may_dispatch(self, ticket):
        return self.valid

    def release(self, ticket, **options):
        self.released.append((ticket.target, options["certain"]))


class FakeQuarantine:
    def __init__(self):
        self.crashes = []
        self.running = set()
        self.crashes_to_quarantine = 99

    def verdict(self, fingerprint, *, now):
        if len(self.crashes) >= self.crashes_to_quarantine:
            return Quarantined(seconds_left=60.0)
        return Clear()

    def note_started(self, exchange, *, target, boot):
        self.running.add(target)

    def note_ended(self, exchange, *, target, boot):
        self.running.discard(target)

    async def target_crashed(self, *, target, boot):
        self.crashes.append(target)


class Rig:
    def __init__(self, services, engines):
        self.services = services
        self.engines = engines
        self.stewardship = FakeStewardship(engines)
        self.quarantine = FakeQuarantine()
        services.controllers["stewardship"] = self.stewardship
        services.controllers["quarantine"] = self.quarantine
        services.controllers["relay"] = RelayController(services=services)
        self.relay = services.controllers["relay"]
        self.relay.engines = EngineClient(
            session_source=lambda: services.http, silence=0.3
        )
        self.relay.budget = RetryBudget(ratio=0.1, reserve=10.0)

    def standin(self, name):
        return self.engines[name][0]

    async def answer(self):
        now = self.services.clock()
        exchange = Exchange(
            request_id="00c0ffee",
            method="POST",
            path="/v1/completions",
            query="",
            headers={},
            body=b"",
            key_hash=None,
            received_at=now,
            deadline=now + 20.0,
        )
        exchange.content = {"model": "plan", "prompt": PROMPT, "seed": SEED}
        exchange.profile = PROFILE
        exchange.output_tokens = TOKENS
        exchange.ticket = await self.stewardship.acquire(exchange, avoid=(), now=now)
        return ModelAnswer(exchange=exchange, services=self.services, relay=self.relay)


@contextlib.asynccontextmanager
async def relay_rig(**options):
    """Serve two stand-in engines that have the adapter loaded, and the relay."""
    engine_options = EngineOptions(**({"step_time": 0.01} | options))
    async with contextlib.AsyncExitStack() as stack:
        engines = {}
        for name in ("one", "two"):
            stand_in = EngineStandIn(name=name, options=engine_options)
            (url,) = await stack.enter_async_context(serving(stand_in))
            stand_in.model.resident[LORA] = Weights("corridor", "3")
            engines[name] = (stand_in, url.removeprefix("http://"))
        http = await stack.enter_async_context(aiohttp.ClientSession())
        settings = types.SimpleNamespace(requests=types.SimpleNamespace(silence=0.3))
        services = types.SimpleNamespace(
            clock=time.monotonic,
            http=http,
            settings=settings,
            controllers={},
            metrics=Metrics(),
        )
        rig = Rig(services, engines)
        yield rig
        await rig.relay.stop()


def texts(events):
    """Return the text of each event that has one."""
    chunks = [json.loads(data) for data in events if data != b"[DONE]"]
    return [c["choices"][0]["text"] for c in chunks if c["choices"]]
