"""Encodes the messages of the limits as protobuf, and decodes them."""

from skylarkpost.limits.bucket import Receipt
from skylarkpost.limits.lend_messages import (
    ShareReply,
    ShareRequest,
    ShareReturn,
    TeamGrant,
    TeamLease,
)
from skylarkpost.limits.pool import DrawGranted, DrawRefused, NoShares
from skylarkpost.limits.shares import Grant
from skylarkpost.limits.slots import SlotOwner
from skylarkpost.rpc import limits_pb2

__all__ = [
    "decode_draw",
    "decode_receipt",
    "decode_share_reply",
    "decode_share_request",
    "decode_share_return",
    "encode_draw",
    "encode_receipt",
    "encode_share_reply",
    "encode_share_request",
    "encode_share_return",
]


def encode_share_request(share_request):
    """Return a `ShareRequest` as a ``LendRequest``."""
    return limits_pb2.LendRequest(
        instance=share_request.holder.instance,
        boot=share_request.holder.boot,
        teams=share_request.teams,
        leases=_encode_leases(share_request.leases),
    )


def decode_share_request(message):
    """Return a ``LendRequest`` as a `ShareRequest`."""
    holder = SlotOwner(message.instance, message.boot)
    return ShareRequest(holder, tuple(message.teams), _decode_leases(message.leases))


def encode_share_reply(answer):
    """Return a `ShareReply` as a ``LendReply``."""
    return limits_pb2.LendReply(
        lent=[_encode_grant(item) for item in answer.lent],
        renewed=[_encode_grant(item) for item in answer.renewed],
        recalled=_encode_leases(answer.recalled),
    )


def decode_share_reply(message):
    """Return a ``LendReply`` as a `ShareReply`."""
    return ShareReply(
        tuple(_decode_grant(item) for item in message.lent),
        tuple(_decode_grant(item) for item in message.renewed),
        _decode_leases(message.recalled),
    )


def encode_share_return(returned):
    """Return a `ShareReturn` as a ``ReturnShareRequest``."""
    return limits_pb2.ReturnShareRequest(
        lease=limits_pb2.TeamLease(**returned.lease._asdict()), tokens=returned.tokens
    )


def decode_share_return(message):
    """Return a ``ReturnShareRequest`` as a `ShareReturn`."""
    lease = TeamLease(message.lease.team, message.lease.lease_id)
    return ShareReturn(lease, message.tokens)


def encode_draw(answer):
    """Return a `DrawAnswer` as a ``DrawReply``."""
    if isinstance(answer, DrawGranted):
        receipt = encode_receipt(answer.receipt)
        return limits_pb2.DrawReply(receipt=receipt, has_shares=True)
    if isinstance(answer, NoShares):
        return limits_pb2.DrawReply(has_shares=False)
    return limits_pb2.DrawReply(
        has_shares=True, retry_after=answer.retry_after, within_rate=answer.within_rate
    )


def decode_draw(message):
    """Return a ``DrawReply`` as a `DrawAnswer`."""
    if message.HasField("receipt"):
        return DrawGranted(receipt=decode_receipt(message.receipt))
    if not message.has_shares:
        return NoShares()
    retry_after = message.retry_after if message.HasField("retry_after") else None
    return DrawRefused(retry_after=retry_after, within_rate=message.within_rate)


def encode_receipt(receipt):
    """Return a `Receipt` as its protobuf message."""
    return limits_pb2.Receipt(**receipt._asdict())


def decode_receipt(message):
    """Return a `Receipt` from its protobuf message."""
    return Receipt(message.bucket, message.sequence, message.tokens)


def _encode_leases(leases):
    return [limits_pb2.TeamLease(**lease._asdict()) for lease in leases]


def _decode_leases(messages):
    return tuple(TeamLease(item.team, item.lease_id) for item in messages)


def _encode_grant(item):
    return limits_pb2.TeamGrant(team=item.team, **item.grant._asdict())


def _decode_grant(item):
    grant = Grant(item.lease_id, item.rate, item.burst, item.level)
    return TeamGrant(item.team, grant)
