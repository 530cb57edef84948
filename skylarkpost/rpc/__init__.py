"""gRPC between instances: generated messages and channels to peers."""

from skylarkpost.rpc.channels import CallFailed, PeerChannels, call_peer

__all__ = ["CallFailed", "PeerChannels", "call_peer"]
