"""Gateway configuration as published by operators, for tests and the soak."""

import json

__all__ = ["HOST", "KEY", "MODEL", "ROUTES", "configuration", "route"]

MODEL = "base"
KEY = "key-of-depot"
HOST = "desk.example"


def route(name, prefix, kind, **changes):
    """Return a route of the configuration, with defaults for tests."""
    values = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": 3000,
        "latencyGoalMs": 300,
        "priority": 1,
        "service": "engines" if kind == "streaming" else "plain",
        "attempts": 2,
        "public": False,
        "resumable": False,
    }
    return values | changes


ROUTES = [
    route("safe", "/safe/", "safe"),
    route("unsafe", "/unsafe/", "unsafe", attempts=1),
    route("stream", "/stream/", "streaming", attempts=1, gapTargetMs=300),
    route("resumable", "/resumable/", "streaming", resumable=True, gapTargetMs=300),
    route("short", "/short/", "safe", timeoutMs=200),
    route("open", "/open/", "safe", public=True),
]


def configuration(version=1, routes=ROUTES, rate=0, slots=2, keys=(KEY,)):
    """Return a complete configuration as encoded JSON."""
    engine = {
        "slots": 8,
        "kvCapacity": 100_000,
        "models": [{"name": MODEL, "weightsMb": 1.0, "loadS": 1.0, "adapters": 9}],
        "weightsMb": 100.0,
        "adapterSlots": slots,
    }
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": "engines",
                    "healthPath": "/healthz",
                    "maxConns": 64,
                    "engine": engine,
                },
                {"name": "plain", "healthPath": "/healthz", "maxConns": 64},
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 65536,
                "headerTimeoutMs": 1000,
                "idleTimeoutMs": 2000,
            },
            "tenants": [
                {
                    "name": "depot",
                    "apiKeys": list(keys),
                    "unit": "tokens",
                    "plainTokens": 200,
                    "ratePerS": rate,
                    "burst": rate,
                }
            ],
        }
    ).encode()
