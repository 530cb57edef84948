"""Stand-in for the platform's metadata store: keyed topics with one partition."""

import asyncio
import base64
import json
import struct

from review.lib.http import HttpServer

__all__ = ["Store"]

LENGTH = struct.Struct(">I")
ENDS = struct.Struct(">QQ")
PAGE_ITEMS = 500


class Topic:
    """Records of one topic; offsets begin at `first`."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    @property
    def end(self):
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, content):
        """Append one record: length of the key, key, value."""
        size = content[0]
        key, value = content[1 : 1 + size].decode(), content[1 + size :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(content)

    def wake(self):
        """Wake the waiting reads."""
        self.changed.set()
        self.changed = asyncio.Event()


class Store(HttpServer):
    """Serves appends, long reads and the newest records."""

    def __init__(self, host):
        super().__init__(host)
        self.topics = {}

    def topic(self, name):
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        """Write a record as the operator or a server does."""
        encoded = key.encode()
        self.topic(name).append(bytes([len(encoded)]) + encoded + value)
        self.topic(name).wake()

    async def handle(self, request, writer):
        """Answer one call."""
        path = request.path
        topic = self.topic(request.query.get("topic", ""))
        if path == "/-/log-append":
            return self.append(topic, request)
        if path == "/-/log-read":
            return await self.read(topic, request)
        if path == "/-/log-newest":
            return self.read_newest(topic, request)
        return 404, b""

    def append(self, topic, request):
        """Append all records of a call, if the topic ends where it is expected to."""
        expected = request.query.get("asOf")
        if expected is not None and int(expected) != topic.end:
            return 412, json.dumps({"endOffset": topic.end}).encode()
        offset, at = topic.end, 0
        while at < len(request.body):
            (size,) = LENGTH.unpack_from(request.body, at)
            topic.append(request.body[at + 4 : at + 4 + size])
            at += 4 + size
        topic.wake()
        return 200, json.dumps({"offset": offset, "endOffset": topic.end}).encode()

    async def read(self, topic, request):
        """Return records from an offset; wait if there are none."""
        start = int(request.query["from"])
        wait = int(request.query.get("waitMs", 0)) / 1000.0
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while topic.end <= start and loop.time() < until:
            try:
                await asyncio.wait_for(topic.changed.wait(), until - loop.time())
            except TimeoutError:
                break
        if start < topic.first or start > topic.end:
            return 410, json.dumps({"first": topic.first}).encode()
        found = topic.records[start - topic.first :]
        body = b"".join(LENGTH.pack(len(each)) + each for each in found)
        return 200, ENDS.pack(topic.end, topic.first) + body

    def read_newest(self, topic, request):
        """Return one page of the newest record of each key."""
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        more = len(keys) > PAGE_ITEMS
        page = {"items": items, "hasMore": more, "endOffset": topic.end}
        return 200, json.dumps(page).encode()
