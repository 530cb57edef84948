"""Rendezvous hashing: all instances choose the same member for a key."""

from skylarkpost.rendezvous.hashing import choose_member, choose_members

__all__ = ["choose_member", "choose_members"]
