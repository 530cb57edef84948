"""In-memory stand-in for the keyed topics of the platform's store.

Run it with ``python -m standins.store --port 8301``.
"""

import asyncio
import base64
import struct

from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.common import StandIn, Switches, abort, main

__all__ = ["StoreStandIn", "StoreSwitches"]

ERA_HEADER = "Store-Era"
LENGTH = struct.Struct(">I")
END_AND_FIRST = struct.Struct(">QQ")
PAGE_SIZE = 500


class StoreSwitches(Switches, kw_only=True):
    """Faults of the store.

    Parameters
    ----------
    busy : bool
        Answer every call with 503, without effect.
    deaf : bool
        Appended records do not wake waiting reads.
    lose_appends : int
        Number of next appends that take effect and lose their answers.
    """

    busy: bool = False
    deaf: bool = False
    lose_appends: int = 0


class Topic:
    """One topic with a single partition."""

    def __init__(self):
        self.first_offset = 0
        self.records = []
        self.newest = {}
        self.appended = asyncio.Condition()

    @property
    def end_offset(self):
        """Offset of the next record to be appended."""
        return self.first_offset + len(self.records)

    def append(self, content):
        """Append one record, encoded as key length, key, value."""
        size = content[0]
        key, value = content[1 : 1 + size].decode(), content[1 + size :]
        if value:
            self.newest[key] = (self.end_offset, value)
        else:
            self.newest.pop(key, None)
        self.records.append(content)

    def truncate(self):
        """Delete the history; the newest record of each key stays."""
        self.first_offset, self.records = self.end_offset, []

    def copy(self):
        """Return a copy of the contents, without waiting reads."""
        copied = Topic()
        copied.first_offset = self.first_offset
        copied.records = list(self.records)
        copied.newest = dict(self.newest)
        return copied

    def restore(self, copied):
        """Replace the contents by those of a copy."""
        self.first_offset = copied.first_offset
        self.records = list(copied.records)
        self.newest = dict(copied.newest)


class StoreStandIn(StandIn):
    """Serves appends, long-polling reads and the newest records.

    Attributes
    ----------
    topics : dict of str to Topic
        Topics by name.
    calls : int
        Number of calls received.
    era : int
        Number of restores.
    """

    switches_type = StoreSwitches

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.calls = 0
        self.era = 0

    def routes(self):
        """Return the routes of the store."""
        return [
            Route("/-/log-append", self._with_era(self.append), methods=["POST"]),
            Route("/-/log-read", self._with_era(self.read), methods=["GET"]),
            Route("/-/log-newest", self._with_era(self.newest), methods=["GET"]),
        ]

    def topic(self, name):
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, Topic())

    async def put(self, name, key, value):
        """Write a record directly, as the operator or a target would."""
        topic = self.topic(name)
        encoded = key.encode()
        topic.append(bytes([len(encoded)]) + encoded + value)
        async with topic.appended:
            topic.appended.notify_all()

    def copy(self):
        """Return a copy of all topics, for a later restore."""
        return {name: topic.copy() for name, topic in self.topics.items()}

    async def restore(self, copied):
        """Come back with the contents of a copy, in a new era.

        Parameters
        ----------
        copied : dict of str to Topic
            From `copy`. Topics created since then are empty.
        """
        self.era += 1
        for name, topic in self.topics.items():
            topic.restore(copied.get(name, Topic()))
            async with topic.appended:
                topic.appended.notify_all()

    def _with_era(self, handler):
        async def answer(request):
            response = await handler(request)
            response.headers[ERA_HEADER] = str(self.era)
            return response

        return answer

    async def append(self, request):
        """Append records atomically, if the end offset is as expected."""
        self.calls += 1
        if self.switches.busy:
            return Response(status_code=503)
        topic = self.topic(request.query_params["topic"])
        expected = request.query_params.get("asOf")
        if expected is not None and int(expected) != topic.end_offset:
            return JSONResponse({"endOffset": topic.end_offset}, status_code=412)
        body, offset, at = await request.body(), topic.end_offset, 0
        while at < len(body):
            (size,) = LENGTH.unpack_from(body, at)
            topic.append(body[at + LENGTH.size : at + LENGTH.size + size])
            at += LENGTH.size + size
        async with topic.appended:
            topic.appended.notify_all()
        if self.switches.lose_appends:
            self.switches.lose_appends -= 1
            return abort(request)
        return JSONResponse({"offset": offset, "endOffset": topic.end_offset})

    async def read(self, request):
        """Return records from an offset; wait if there are none yet (long poll)."""
        self.calls += 1
        if self.switches.busy:
            return Response(status_code=503)
        topic = self.topic(request.query_params["topic"])
        start = int(request.query_params["from"])
        wait = int(request.query_params.get("waitMs", 0)) / 1000.0
        if not topic.first_offset <= start <= topic.end_offset:
            return JSONResponse({"first": topic.first_offset}, status_code=410)
        era = self.era
        try:
            async with asyncio.timeout(wait), topic.appended:
                await topic.appended.wait_for(
                    lambda: (
                        self.era != era
                        or (topic.end_offset > start and not self.switches.deaf)
                    )
                )
        except TimeoutError:
            pass
        if not topic.first_offset <= start <= topic.end_offset:
            return JSONResponse({"first": topic.first_offset}, status_code=410)
        records = topic.records[start - topic.first_offset :]
        body = b"".join(LENGTH.pack(len(each)) + each for each in records)
        return Response(END_AND_FIRST.pack(topic.end_offset, topic.first_offset) + body)

    async def newest(self, request):
        """Return the newest record of each key, one page at a time."""
        self.calls += 1
        if self.switches.busy:
            return Response(status_code=503)
        topic = self.topic(request.query_params["topic"])
        after = request.query_params.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:PAGE_SIZE]
        ]
        return JSONResponse(
            {
                "items": items,
                "hasMore": len(keys) > PAGE_SIZE,
                "endOffset": topic.end_offset,
            }
        )


if __name__ == "__main__":
    main(lambda arguments: StoreStandIn(), description=__doc__)
