"""Small processes that stand in for the platform and the targets in tests."""
