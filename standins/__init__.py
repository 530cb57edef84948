"""Test doubles of the platform services and targets, run as small HTTP servers."""
