"""Messages between members, and their protobuf encoding."""

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
    """Description of an instance, sent by itself or by another one.

    Attributes
    ----------
    instance, boot, address, data_centre : str
        As in `skylarkpost.membership.Member`.
    leaving : bool
        Whether it is shutting down.
    silent : bool
        Whether the sender no longer gets answers from it.
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
        Name of the topic.
    version : int
        Increases with each change.
    payload : bytes
        Data for the topic's subscribers.
    """

    topic: str
    version: int
    payload: bytes


class RelayedDigest(NamedTuple):
    """A digest from another data centre, relayed within the local one.

    Attributes
    ----------
    instance, boot : str
        The instance that published it, in another data centre.
    digest : Digest
        The unchanged digest.
    """

    instance: str
    boot: str
    digest: Digest


class Heartbeat(NamedTuple):
    """A heartbeat message.

    Attributes
    ----------
    sender : MemberInfo
        The sending instance.
    digests : tuple of Digest
        Digests that the receiver has not acknowledged.
    known_list : int
        Version of the receiver's member list that the sender has; 0 for none.
    relayed : tuple of RelayedDigest
        Digests of other data centres that the receiver has not acknowledged.
    seen_version : int
        Version up to which the sender has received the receiver's digests.
    seen_boot : str
        Boot of the receiver that `seen_version` belongs to.
    """

    sender: MemberInfo
    digests: tuple[Digest, ...] = ()
    known_list: int = 0
    relayed: tuple[RelayedDigest, ...] = ()
    seen_version: int = 0
    seen_boot: str = ""


class HeartbeatReply(NamedTuple):
    """The answer to a heartbeat.

    Attributes
    ----------
    responder : MemberInfo
        The answering instance.
    list_version : int
        Version of its member list.
    members : tuple of MemberInfo
        The list; empty if the sender already has this version.
    superseded : bool
        Whether another boot has replaced the sender.
    digests : tuple of Digest
        Digests of the responder that the sender has not acknowledged.
    relayed : tuple of RelayedDigest
        Digests of other data centres that the sender has not acknowledged.
    digest_version : int
        Version up to which these complete what the sender has.
    incomplete : bool
        Whether relayed digests were dropped whose origin is not known yet; the
        sender has to send them again.
    """

    responder: MemberInfo
    list_version: int
    members: tuple[MemberInfo, ...] = ()
    superseded: bool = False
    digests: tuple[Digest, ...] = ()
    relayed: tuple[RelayedDigest, ...] = ()
    digest_version: int = 0
    incomplete: bool = False


def encode_heartbeat(heartbeat):
    """Encode a heartbeat.

    Parameters
    ----------
    heartbeat : Heartbeat
        The message to encode.

    Returns
    -------
    membership_pb2.Heartbeat
    """
    return membership_pb2.Heartbeat(
        sender=membership_pb2.MemberInfo(**heartbeat.sender._asdict()),
        digests=[_encode_digest(each) for each in heartbeat.digests],
        known_list=heartbeat.known_list,
        relayed=[_encode_relayed(each) for each in heartbeat.relayed],
        seen_version=heartbeat.seen_version,
        seen_boot=heartbeat.seen_boot,
    )


def decode_heartbeat(message):
    """Decode a heartbeat.

    Parameters
    ----------
    message : membership_pb2.Heartbeat
        The received message.

    Returns
    -------
    Heartbeat
    """
    return Heartbeat(
        _decode_info(message.sender),
        tuple(_decode_digest(each) for each in message.digests),
        message.known_list,
        tuple(_decode_relayed(each) for each in message.relayed),
        message.seen_version,
        message.seen_boot,
    )


def encode_reply(reply):
    """Encode the answer to a heartbeat.

    Parameters
    ----------
    reply : HeartbeatReply
        The message to encode.

    Returns
    -------
    membership_pb2.HeartbeatReply
    """
    return membership_pb2.HeartbeatReply(
        responder=membership_pb2.MemberInfo(**reply.responder._asdict()),
        list_version=reply.list_version,
        members=[membership_pb2.MemberInfo(**m._asdict()) for m in reply.members],
        superseded=reply.superseded,
        digests=[_encode_digest(each) for each in reply.digests],
        relayed=[_encode_relayed(each) for each in reply.relayed],
        digest_version=reply.digest_version,
        incomplete=reply.incomplete,
    )


def decode_reply(message):
    """Decode the answer to a heartbeat.

    Parameters
    ----------
    message : membership_pb2.HeartbeatReply
        The received message.

    Returns
    -------
    HeartbeatReply
    """
    return HeartbeatReply(
        _decode_info(message.responder),
        message.list_version,
        tuple(_decode_info(info) for info in message.members),
        message.superseded,
        tuple(_decode_digest(each) for each in message.digests),
        tuple(_decode_relayed(each) for each in message.relayed),
        message.digest_version,
        message.incomplete,
    )


def _encode_digest(digest):
    return membership_pb2.Digest(
        topic=digest.topic, version=digest.version, payload=digest.payload
    )


def _encode_relayed(relayed):
    return membership_pb2.RelayedDigest(
        instance=relayed.instance,
        boot=relayed.boot,
        digest=_encode_digest(relayed.digest),
    )


def _decode_relayed(message):
    return RelayedDigest(message.instance, message.boot, _decode_digest(message.digest))


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
