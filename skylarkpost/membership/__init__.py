"""Membership: which instances and targets are live, leaving or silent."""

from skylarkpost.membership.commands import SendHeartbeat, StateChange
from skylarkpost.membership.controller import MembershipController
from skylarkpost.membership.core import MembershipCore
from skylarkpost.membership.digests import DigestExchange
from skylarkpost.membership.listing import TargetListing
from skylarkpost.membership.member import Member, MemberState, TargetState
from skylarkpost.membership.messages import (
    Digest,
    Heartbeat,
    HeartbeatReply,
    MemberInfo,
)
from skylarkpost.membership.pause import PauseDetector

__all__ = [
    "Digest",
    "DigestExchange",
    "Heartbeat",
    "HeartbeatReply",
    "Member",
    "MemberInfo",
    "MemberState",
    "MembershipController",
    "MembershipCore",
    "PauseDetector",
    "SendHeartbeat",
    "StateChange",
    "TargetListing",
    "TargetState",
]
