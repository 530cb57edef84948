"""Rig of the review: stand-ins of the platform, and the project's gateways."""
