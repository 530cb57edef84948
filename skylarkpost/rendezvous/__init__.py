"""Rendezvous hashing: a choice among members that all instances make alike."""

from skylarkpost.rendezvous.hashing import choose_member, choose_members

__all__ = ["choose_member", "choose_members"]
