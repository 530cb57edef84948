import pytest

from skylarkpost.routing import (
    CallerBounds,
    Configuration,
    ConfigurationState,
    GatewayRoute,
    GatewayTeam,
    RouteKind,
    RouteTable,
    WeightedService,
    key_digest,
)

ROUTE = GatewayRoute(
    name="r",
    host="desk.example",
    path_prefix="/a/",
    kind=RouteKind.SAFE,
    timeout=1.0,
    latency_goal=0.3,
    gap_target=None,
    rank=1,
    services=(WeightedService("desk", 1.0),),
    max_targets=2,
    is_public=False,
    is_resumable=False,
)
TEAM = GatewayTeam("depot", (key_digest(b"k1"),), 1, 10.0, 10.0, True, 200)


def configuration(version=1, routes=(ROUTE,), teams=(TEAM,)):
    return Configuration(
        version, tuple(routes), {}, {t.name: t for t in teams}, CallerBounds()
    )


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/a/b/c", "long"),
        ("/a/b/", "long"),
        ("/a/b", "short"),
        ("/a/x?y=/a/b/", "short"),
        ("/ab/", None),
        ("/", None),
    ],
)
def test_the_longest_matching_prefix_wins(path, expected):
    table = RouteTable(
        configuration=configuration(
            routes=(
                ROUTE._replace(name="short"),
                ROUTE._replace(name="long", path_prefix="/a/b/"),
            )
        )
    )
    found = table.find("desk.example", path)
    assert (found and found.name) == expected


@pytest.mark.parametrize("host", ["desk.example", "DESK.example:8080"])
def test_hosts_are_compared_without_case_and_port(host):
    assert RouteTable(configuration=configuration()).find(host, "/a/") is ROUTE


def test_teams_are_looked_up_by_the_digest_of_a_key():
    table = RouteTable(configuration=configuration())
    assert table.team(key_digest(b"k1")) is TEAM
    assert table.team(key_digest(b"k2")) is None
    assert "k1" not in repr(table.teams_by_key)


def test_an_older_configuration_is_not_applied():
    state = ConfigurationState()
    assert state.apply(configuration(7), b"7", 1.0)
    assert not state.apply(configuration(6), b"6", 2.0)
    assert not state.apply(configuration(7), b"other", 2.0)
    assert (state.version, state.payload, state.changed_at) == (7, b"7", 1.0)


def test_the_abandon_timeout_is_the_longest_of_three_times():
    assert ROUTE.abandon_timeout == 2.0
    assert ROUTE._replace(latency_goal=0.8).abandon_timeout == pytest.approx(3.2)
    assert ROUTE._replace(gap_target=0.5).abandon_timeout == pytest.approx(4.0)
