"""Stand-in for an inference engine.

Run it with ``python -m standins.engine --port 8101 --weights-url URL``.
"""

import asyncio
import random
import time

import aiohttp
import msgspec
from starlette.responses import JSONResponse, StreamingResponse
from starlette.routing import Route

from standins.answers import prompt_text
from standins.common import abort, main
from standins.engine_model import EngineModel, Stream, Weights
from standins.engine_options import EngineOptions, EngineSwitches
from standins.engine_stream import send_whole_answer, stream_events
from standins.recording import RecordingStandIn

__all__ = ["EngineStandIn"]

LOAD_TIMEOUT_S = 60.0
DEFAULT_MAX_TOKENS = 64


class EngineStandIn(RecordingStandIn):
    """Engine with adapters, streams, load reports and cache events.

    Parameters
    ----------
    name : str
        Engine name, used as the prefix of its boot ids.
    weights_url : str or None
        URL of the weight store; None makes loads immediate.
    options : EngineOptions
        Capacity and speed.
    seed : int
        Seed of the boot ids and of the omitted cache events.
    """

    switches_type = EngineSwitches

    def __init__(self, *, name="engine", weights_url=None, options=None, seed=1):
        self.name = name
        self.weights_url = weights_url
        self.options = options or EngineOptions()
        self.random = random.Random(f"{name}-{seed}")
        self.silent_transports = set()
        self.highest_fencing_number = 0
        self.violations = {"evicted_in_use": 0, "wrong_adapter": 0}
        self.counts = {}
        self.boots = 0
        self.background = None
        self.session = None
        super().__init__()
        self.start_boot()

    def routes(self):
        """Return the routes of the engine."""
        return [
            *super().routes(),
            Route("/v1/chat/completions", self.post_completion, methods=["POST"]),
            Route("/v1/completions", self.post_completion, methods=["POST"]),
            Route("/v1/streams/{id}", self.get_stream, methods=["GET"]),
            Route("/v1/streams/{id}", self.delete_stream, methods=["DELETE"]),
            Route("/v1/load_lora_adapter", self.post_load, methods=["POST"]),
            Route("/v1/unload_lora_adapter", self.post_unload, methods=["POST"]),
            Route("/load", self.get_load),
            Route("/events", self.get_events),
            Route("/kv/export", self.post_kv_export, methods=["POST"]),
            Route("/kv/import", self.post_kv_import, methods=["POST"]),
            Route("/role", self.post_role, methods=["POST"]),
            Route("/health", self.get_health),
            Route("/violations", self.get_violations),
            Route("/counts", self.get_counts),
        ]

    def start_boot(self):
        """Start a new boot with empty state."""
        self.boots += 1
        boot = f"{self.name}-{self.boots}-{self.random.getrandbits(32):08x}"
        now = time.monotonic()
        self.model = EngineModel(boot=boot, options=self.options, now=now)
        self.highest_fencing_number = 0

    def restart(self):
        """Reset all connections and discard everything in memory."""
        self.accumulate_violations()
        self.start_boot()
        self.drop_connections()

    def on_switches_changed(self):
        """Apply the switches that take effect once, and clear them."""
        if self.switches.restart:
            self.switches.restart = False
            self.restart()
        if self.switches.silence_connections:
            self.switches.silence_connections = False
            self.silent_transports |= self.transports

    def is_cut(self, scope):
        """Return whether a request currently gets no answer."""
        return super().is_cut(scope) or self.is_silent(scope)

    def is_silent(self, scope):
        """Return whether nothing is currently sent on a connection."""
        return self.switches.frozen or scope["transport"] in self.silent_transports

    async def start(self):
        """Start running the batch."""
        self.session = aiohttp.ClientSession()
        self.background = asyncio.create_task(self.run_batch())

    async def stop(self):
        """Stop running the batch."""
        self.background.cancel()
        await asyncio.wait([self.background])
        await self.session.close()

    async def run_batch(self):
        """Run batch steps until cancelled."""
        while True:
            await asyncio.sleep(self.options.step_time)
            if self.switches.frozen:
                continue
            started = self.model.step(now=time.monotonic())
            for stream in started:
                self.counts[stream.request_id] = (
                    self.counts.get(stream.request_id, 0) + 1
                )
            marker = self.switches.crash_marker
            if marker and any(marker in stream.prompt for stream in started):
                self.restart()

    async def post_completion(self, request):
        """Serve a chat completion or plain completion."""
        content = await request.json()
        refusal = self.check_request(request)
        if refusal is not None:
            return refusal
        lora_name = content["model"]
        if not self.model.can_serve(lora_name):
            return error(404, "adapter-not-loaded")
        if self.model.role == "prefill":
            return error(409, "wrong-role")
        if len(self.model.waiting) >= self.options.max_waiting:
            return error(503, "full")
        request_id = request.headers.get("x-request-id") or self.new_request_id()
        if request_id in self.model.streams:
            return error(409, "duplicate-request")
        stream = Stream(
            request_id=request_id,
            lora_name=lora_name,
            prompt=prompt_text(content),
            seed=content.get("seed"),
            max_tokens=content.get("max_tokens") or DEFAULT_MAX_TOKENS,
            priority=content.get("priority", 0),
        )
        stream.is_chat = "messages" in content
        self.model.enqueue(stream)
        if content.get("stream"):
            return self.send_stream(request, stream, after=0)
        return await send_whole_answer(self, request, stream)

    def new_request_id(self):
        """Return an id for a request without ``X-Request-Id``."""
        return f"direct-{self.random.getrandbits(64):016x}"

    async def get_stream(self, request):
        """Resume a stream on this connection."""
        stream = self.model.streams.get(request.path_params["id"])
        if stream is None or stream.state == "cancelled":
            return error(404, "unknown-stream")
        after = int(request.query_params.get("after", "0"))
        return self.send_stream(request, stream, after=after)

    async def delete_stream(self, request):
        """Cancel a stream."""
        stream = self.model.streams.get(request.path_params["id"])
        if stream is None:
            return error(404, "unknown-stream")
        self.model.cancel(stream)
        return JSONResponse({"events": len(stream.events)})

    def send_stream(self, request, stream, *, after):
        """Return a response that streams the events after an event id."""
        return StreamingResponse(
            stream_events(self, request, stream, after=after),
            media_type="text/event-stream",
            headers={"X-Target-Boot": self.model.boot},
        )

    async def post_load(self, request):
        """Load an adapter into a free slot."""
        content = await request.json()
        refusal = self.check_order(request)
        if refusal is not None:
            return refusal
        model = self.model
        name = content["lora_name"]
        if name not in model.resident:
            if name not in model.loading:
                if not model.has_free_slot():
                    return error(409, "no-slot")
                weights = Weights(content["weight_name"], content["version"])
                loading = asyncio.create_task(self.load(model, name, weights))
                model.loading[name] = loading
            failure = await asyncio.shield(model.loading[name])
            if failure is not None:
                return failure
        return self.answer_order(request, {"boot": model.boot})

    async def load(self, model, name, weights):
        """Fetch weights and make them resident; return an error response or None."""
        try:
            failure = await self.fetch(weights)
        finally:
            del model.loading[name]
        if model is not self.model:
            return error(409, "wrong-boot")
        if failure is None:
            model.resident[name] = weights
        return failure

    async def fetch(self, weights):
        """Download weights from the store; return an error response or None."""
        await asyncio.sleep(self.switches.load_delay)
        if {weights.weight_name, weights.lora_name} & set(self.switches.failing_loads):
            return error(502, "load-failed")
        if self.weights_url is None:
            return None
        url = f"{self.weights_url}/weights/{weights.weight_name}/{weights.version}"
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                await response.read()
                return None if response.status == 200 else error(502, "load-failed")
        except (aiohttp.ClientError, OSError, TimeoutError):
            return error(502, "load-failed")

    async def post_unload(self, request):
        """Unload an adapter."""
        content = await request.json()
        refusal = self.check_order(request)
        if refusal is not None:
            return refusal
        self.model.unload(content["lora_name"])
        return self.answer_order(request, {"boot": self.model.boot})

    async def post_role(self, request):
        """Change the role: ``both``, ``prefill`` or ``decode``."""
        content = await request.json()
        refusal = self.check_order(request)
        if refusal is not None:
            return refusal
        self.model.role = content["role"]
        return self.answer_order(request, {"boot": self.model.boot})

    async def post_kv_export(self, request):
        """Return the cached prefixes, most recently used last."""
        return JSONResponse({"blocks": list(self.model.cache.blocks)})

    async def post_kv_import(self, request):
        """Add cached prefixes exported by another engine."""
        content = await request.json()
        for prefix in content["blocks"]:
            self.model.cache.insert(prefix, now=time.monotonic())
        return JSONResponse({"blocks": len(self.model.cache.blocks)})

    async def get_load(self, request):
        """Return the load report as of `report_lag` seconds ago."""
        moment = time.monotonic() - self.switches.report_lag
        return JSONResponse(self.model.report_as_of(moment))

    async def get_events(self, request):
        """Return changes of the prefix cache, with the set lag and gaps."""
        after = int(request.query_params.get("after", "0"))
        moment = time.monotonic() - self.switches.event_lag
        ready = [e for e in self.model.cache.events if e.n > after and e.at <= moment]
        shown = [e for e in ready if self.random.random() >= self.switches.event_gaps]
        return JSONResponse(
            {
                "boot": self.model.boot,
                "next": ready[-1].n if ready else after,
                "events": [
                    {"n": e.n, "kind": e.kind, "prefix": e.prefix} for e in shown
                ],
            }
        )

    async def get_health(self, request):
        """Answer the health check with the current uptime, without report lag."""
        uptime = time.monotonic() - self.model.booted_at
        return JSONResponse({"boot": self.model.boot, "uptime": uptime})

    async def get_violations(self, request):
        """Return the count of each kind of violation, over all boots."""
        self.accumulate_violations()
        return JSONResponse(self.violations)

    async def get_counts(self, request):
        """Return how often each request started to run, over all boots."""
        return JSONResponse(self.counts)

    def accumulate_violations(self):
        """Move the current boot's violations into the totals over all boots."""
        for kind in self.violations:
            self.violations[kind] += getattr(self.model, kind)
            setattr(self.model, kind, 0)

    def check_request(self, request):
        """Return an error if the boot or the fencing number is outdated, else None."""
        boot = request.headers.get("x-target-boot")
        if boot is not None and boot != self.model.boot:
            return error(409, "wrong-boot")
        number = request.headers.get("x-fencing-number")
        if number is None or not self.options.check_fencing:
            return None
        if int(number) < self.highest_fencing_number:
            return error(409, "stale-fencing-number")
        self.highest_fencing_number = int(number)
        return None

    def check_order(self, request):
        """Like `check_request`, but the fencing number is required if checked."""
        unnumbered = "x-fencing-number" not in request.headers
        if self.options.check_fencing and unnumbered:
            return error(409, "stale-fencing-number")
        return self.check_request(request)

    def answer_order(self, request, content):
        """Answer an executed order, or lose the answer if that fault is active."""
        if self.switches.lose_answers > 0:
            self.switches.lose_answers -= 1
            return abort(request)
        return JSONResponse(content)


def error(status, code):
    """Return an error response in the format of engines."""
    return JSONResponse({"error": {"code": code, "message": code}}, status_code=status)


def add_arguments(parser):
    """Add the command-line options of an engine to a parser."""
    parser.add_argument("--name", default="engine")
    parser.add_argument("--weights-url", default=None, help="URL of the weight store")
    parser.add_argument("--seed", type=int, default=1)
    for field in msgspec.structs.fields(EngineOptions):
        flag = f"--{field.encode_name.replace('_', '-')}"
        kind = _parse_flag if field.type is bool else field.type
        parser.add_argument(flag, type=kind, default=field.default)


def build(arguments):
    """Build an engine from parsed arguments."""
    names = [field.name for field in msgspec.structs.fields(EngineOptions)]
    options = EngineOptions(**{name: getattr(arguments, name) for name in names})
    return EngineStandIn(
        name=arguments.name,
        weights_url=arguments.weights_url,
        options=options,
        seed=arguments.seed,
    )


def _parse_flag(text):
    return text.lower() in ("1", "true", "yes")


if __name__ == "__main__":
    main(build, description="Stand-in engine.", add_arguments=add_arguments)
