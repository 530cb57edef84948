"""The messages between members, and their form on the wire."""

from typing import NamedTuple

from skylarkpost.rpc import membership_pb2

__all__ = [
    "Digest",
    "Heartbeat",
    "HeartbeatReply",
    "MemberInfo",
    "RelayedDigest",
    "decode_heartbeat",
    "decode_reply",
    "encode_heartbeat",
    "encode_reply",
]


class MemberInfo(NamedTuple):
    """What one instance tells of itself or of another.

    Attributes
    ----------
    instance, boot, address, data_centre : str
        As in `skylarkpost.membership.Member`.
    leaving : bool
        Whether it is shutting down.
    silent : bool
        Whether the teller does not hear it any more.
    """

    instance: str
    boot: str
    address: str
    data_centre: str
    leaving: bool = False
    silent: bool = False


class Digest(NamedTuple):
    """The newest payload of one topic of one member.

    Attributes
    ----------
    topic : str
        What it is about.
    version : int
        Rises with each change.
    payload : bytes
        For the subscribers of the topic.
    """

    topic: str
    version: int
    payload: bytes


class RelayedDigest(NamedTuple):
    """A digest that a partner of its origin passes on within its data centre.

    Attributes
    ----------
    instance, boot : str
        The origin, in another data centre.
    digest : Digest
        As the origin sent it.
    """

    instance: str
    boot: str
    digest: Digest


class Heartbeat(NamedTuple):
    """A heartbeat.

    Attributes
    ----------
    sender : MemberInfo
        Who sends it.
    digests : tuple of Digest
        Those that the receiver does not have yet.
    known_list : int
        Version of the receiver's list that the sender has; 0 for none.
    relayed : tuple of RelayedDigest
        Digests of other data centres that the receiver does not have yet.
    """

    sender: MemberInfo
    digests: tuple[Digest, ...] = ()
    known_list: int = 0
    relayed: tuple[RelayedDigest, ...] = ()


class HeartbeatReply(NamedTuple):
    """The answer to a heartbeat.

    Attributes
    ----------
    responder : MemberInfo
        Who answers.
    list_version : int
        Version of its list of members.
    members : tuple of MemberInfo
        The list; empty if the sender has this version.
    superseded : bool
        Whether another boot has taken the sender's place.
    """

    responder: MemberInfo
    list_version: int
    members: tuple[MemberInfo, ...] = ()
    superseded: bool = False


def encode_heartbeat(heartbeat):
    """Return a heartbeat as a message of the wire.

    Parameters
    ----------
    heartbeat : Heartbeat
        What to send.

    Returns
    -------
    membership_pb2.Heartbeat
    """
    return membership_pb2.Heartbeat(
        sender=membership_pb2.MemberInfo(**heartbeat.sender._asdict()),
        digests=[membership_pb2.Digest(**d._asdict()) for d in heartbeat.digests],
        known_list=heartbeat.known_list,
        relayed=[
            membership_pb2.RelayedDigest(
                instance=each.instance,
                boot=each.boot,
                digest=membership_pb2.Digest(**each.digest._asdict()),
            )
            for each in heartbeat.relayed
        ],
    )


def decode_heartbeat(message):
    """Return the heartbeat that a message of the wire holds.

    Parameters
    ----------
    message : membership_pb2.Heartbeat
        What came.

    Returns
    -------
    Heartbeat
    """
    return Heartbeat(
        _decode_info(message.sender),
        tuple(_decode_digest(each) for each in message.digests),
        message.known_list,
        tuple(
            RelayedDigest(each.instance, each.boot, _decode_digest(each.digest))
            for each in message.relayed
        ),
    )


def encode_reply(reply):
    """Return the answer to a heartbeat as a message of the wire.

    Parameters
    ----------
    reply : HeartbeatReply
        What to send.

    Returns
    -------
    membership_pb2.HeartbeatReply
    """
    return membership_pb2.HeartbeatReply(
        responder=membership_pb2.MemberInfo(**reply.responder._asdict()),
        list_version=reply.list_version,
        members=[membership_pb2.MemberInfo(**m._asdict()) for m in reply.members],
        superseded=reply.superseded,
    )


def decode_reply(message):
    """Return the answer to a heartbeat that a message of the wire holds.

    Parameters
    ----------
    message : membership_pb2.HeartbeatReply
        What came.

    Returns
    -------
    HeartbeatReply
    """
    return HeartbeatReply(
        _decode_info(message.responder),
        message.list_version,
        tuple(_decode_info(info) for info in message.members),
        message.superseded,
    )


def _decode_digest(message):
    return Digest(message.topic, message.version, message.payload)


def _decode_info(message):
    return MemberInfo(
        message.instance,
        message.boot,
        message.address,
        message.data_centre,
        message.leaving,
        message.silent,
    )
