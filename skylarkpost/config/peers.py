"""Reads the configuration from peers and serves it to them."""

from dataclasses import dataclass

import grpc
import msgspec

from skylarkpost.config.recent import StreamRecord
from skylarkpost.config.snapshot import decode_snapshot, encode_snapshot
from skylarkpost.config.store import ConfigStore
from skylarkpost.decoding import Malformed, decode_json
from skylarkpost.rpc import CallFailed, config_pb2, config_pb2_grpc

__all__ = ["ConfigService", "PeerConfig", "read_from_peer"]

CHUNK_BYTES = 256 * 1024
RECORDS_PER_CHUNK = 200
READ_TIMEOUT_S = 5.0


class ConfigService(config_pb2_grpc.ConfigServicer):
    """Serves the applied configuration of this instance.

    Parameters
    ----------
    replica : ConfigReplica
        Configuration of this instance.
    """

    def __init__(self, *, replica):
        self.replica = replica

    async def ReadConfig(self, request, context):  # noqa: N802 - named by gRPC
        """Send records or a snapshot. See ``config.proto``."""
        if not self.replica.ready or self.replica.building is not None:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, "not ready")
        records = None
        if not request.snapshot:
            records = self.replica.recent.since(request.from_offset)
        if records is None:
            chunks = _snapshot_chunks(self.replica.store)
        else:
            chunks = _record_chunks(records)
        for chunk in chunks:
            yield chunk
        yield config_pb2.ReadConfigChunk(last=True)


@dataclass(frozen=True, kw_only=True)
class PeerConfig:
    """Answer of a peer: records, or a snapshot.

    Parameters
    ----------
    records : list of StreamRecord
        In order of their offsets.
    snapshot : ConfigStore or None
        Set instead if the peer no longer keeps the records.
    """

    records: list[StreamRecord]
    snapshot: ConfigStore | None


async def read_from_peer(channels, address, *, from_offset, snapshot):
    """Read the configuration from a peer.

    Parameters
    ----------
    channels : skylarkpost.rpc.PeerChannels
        Channels to the peers.
    address : str
        ``IP:PORT`` of the peer.
    from_offset : int
        Offset of the first requested record.
    snapshot : bool
        Whether a snapshot is required.

    Returns
    -------
    PeerConfig or CallFailed
    """
    stub = config_pb2_grpc.ConfigStub(channels.get(address))
    request = config_pb2.ReadConfigRequest(from_offset=from_offset, snapshot=snapshot)
    records, data, last = [], bytearray(), False
    try:
        async for chunk in stub.ReadConfig(request, timeout=READ_TIMEOUT_S):
            records += [_decode_record(record) for record in chunk.records]
            data += chunk.snapshot
            last = chunk.last
    except grpc.aio.AioRpcError as error:
        if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
            channels.renew(address)
        return CallFailed(code=error.code().name, maybe_executed=False)
    if not last or any(isinstance(each, Malformed) for each in records):
        return CallFailed(code="DATA_LOSS", maybe_executed=False)
    store = decode_snapshot(bytes(data)) if data else None
    return PeerConfig(records=records, snapshot=store)


def _snapshot_chunks(store):
    data = encode_snapshot(store)
    for start in range(0, len(data), CHUNK_BYTES):
        yield config_pb2.ReadConfigChunk(snapshot=data[start : start + CHUNK_BYTES])


def _record_chunks(records):
    for start in range(0, len(records), RECORDS_PER_CHUNK):
        yield config_pb2.ReadConfigChunk(
            records=[_encode_record(r) for r in records[start:][:RECORDS_PER_CHUNK]]
        )


def _encode_record(record):
    return config_pb2.ConfigRecord(
        offset=record.offset, time=record.time, data=msgspec.json.encode(record.data)
    )


def _decode_record(message):
    """Return the record, or `Malformed`."""
    data = decode_json(message.data, dict)
    if isinstance(data, Malformed):
        return data
    return StreamRecord(message.offset, message.time, data)
