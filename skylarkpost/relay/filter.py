"""Last filter of the chain: dispatches the request and returns the answer."""

import json

from skylarkpost.filters import Filter, register_filter
from skylarkpost.frontend.responses import error_body
from skylarkpost.outcomes import Relayed
from skylarkpost.relay.assembly import assemble_answer
from skylarkpost.relay.model_answer import DONE, ModelAnswer
from skylarkpost.relay.service_call import ServiceCall

__all__ = ["DispatchFilter"]

STATUS_OK = 200
EVENT_STREAM_HEADERS = {
    "content-type": "text/event-stream",
    "cache-control": "no-cache",
}
JSON_HEADERS = {"content-type": "application/json"}


@register_filter("dispatch", order=80)
class DispatchFilter(Filter):
    """Dispatches a request to the target that the placement filter chose."""

    async def apply(self, exchange):
        """Dispatch one request. See `Filter.apply`."""
        relay = self.services.controllers["relay"]
        arguments = {"exchange": exchange, "services": self.services, "relay": relay}
        if not exchange.is_model_request:
            return await ServiceCall(**arguments).run()
        answer = ModelAnswer(**arguments)
        if exchange.content.get("stream"):
            return await self._respond_streaming(exchange, answer)
        return await self._respond_whole(exchange, answer)

    async def _respond_whole(self, exchange, answer):
        async for _ in answer.events():
            pass
        if answer.refusal is not None:
            return answer.refusal
        await self.services.controllers["quarantine"].note_answered(exchange)
        content = assemble_answer(answer.sequence.forwarded)
        body = _single_chunk(json.dumps(content).encode())
        return Relayed(status=STATUS_OK, headers=JSON_HEADERS, body=body)

    async def _respond_streaming(self, exchange, answer):
        events = answer.events()
        first = await anext(events, None)
        if first is None:
            return answer.refusal
        # Closes the events even if the caller disconnects before the body starts.
        exchange.on_finish(lambda _: events.aclose())
        body = self._body(exchange, answer, first, events)
        return Relayed(status=STATUS_OK, headers=EVENT_STREAM_HEADERS, body=body)

    async def _body(self, exchange, answer, first, events):
        yield b"data: " + first + b"\n\n"
        try:
            async for data in events:
                yield b"data: " + data + b"\n\n"
        finally:
            await events.aclose()
        if answer.refusal is None:
            assert answer.sequence.forwarded[-1] == DONE
            await self.services.controllers["quarantine"].note_answered(exchange)
            return
        exchange.outcome = answer.refusal
        content = error_body(answer.refusal, request_id=exchange.request_id)
        yield b"data: " + json.dumps(content).encode() + b"\n\n"


async def _single_chunk(body):
    yield body
