import io
import json
import time

import pytest
from starlette.responses import JSONResponse
from starlette.routing import Route

from skylarkpost.cli import ExitCode, run
from skylarkpost.config.keys import hash_key
from standins.common import StandIn, serving
from standins.log import LogStandIn

FILE = """
[teams.depot]
rate = 100
burst = 500
[profiles.plan]
base_model = "base"
adapter = "a1"
version = "1"
teams = ["depot"]
"""


class RacedLog(LogStandIn):
    """A log that appends records of another operator just before the next append."""

    interposed = ()

    async def post_records(self, request):
        interposed, self.interposed = self.interposed, ()
        self.stream("config").append(interposed, now=time.time())
        return await super().post_records(request)


@pytest.fixture
async def log():
    stand_in = RacedLog()
    async with serving(stand_in) as urls:
        stand_in.url = urls[0]
        yield stand_in


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "items.toml"
    path.write_text(FILE)
    return path


async def tool(log, *argv):
    """Run a command against the log and return its exit code and JSON output."""
    stdout, stderr = io.StringIO(), io.StringIO()
    arguments = [*map(str, argv), "--json", "--log-url", log.url]
    code = await run(arguments, stdout=stdout, stderr=stderr)
    text = stdout.getvalue()
    return code, json.loads(text) if text else stderr.getvalue()


async def test_apply_shows_a_diff_publishes_it_and_then_has_nothing_to_do(log, path):
    code, diff = await tool(log, "apply", path, "--dry-run")
    assert code == ExitCode.OK
    assert [(d["kind"], d["before"]) for d in diff] == [
        ("team", None),
        ("profile", None),
    ]
    assert log.stream("config").next_offset == 0
    code, results = await tool(log, "apply", path, "--author", "ann", "--reason", "go")
    assert code == ExitCode.OK
    assert [r["status"] for r in results] == ["accepted", "accepted"]
    assert await tool(log, "apply", path) == (ExitCode.OK, [])
    path.write_text(FILE.replace('version = "1"', 'version = "2"'))
    code, results = await tool(log, "apply", path)
    assert [r["detail"] for r in results] == ["version 2 -> 3"]
    code, shown = await tool(log, "get", "profile", "plan")
    assert (shown["config_version"], shown["version"]) == (3, "2")


async def test_prune_removes_what_the_file_does_not_name(log, path):
    await tool(log, "apply", path)
    path.write_text(FILE.replace("profiles.plan", "profiles.verse"))
    code, _ = await tool(log, "apply", path, "--prune")
    assert code == ExitCode.OK
    _, profiles = await tool(log, "list", "profile")
    assert [profile["name"] for profile in profiles] == ["verse"]


async def test_all_faults_of_a_file_are_reported_and_nothing_is_published(log, path):
    path.write_text("[teams.depot]\nrate = -1\nburst = 1\n[profiles.p]\n[wishes.w]\n")
    code, errors = await tool(log, "apply", path)
    assert code == ExitCode.USAGE
    assert "teams.depot" in errors and "profiles.p" in errors and "wishes" in errors
    assert log.stream("config").next_offset == 0


async def test_of_two_racing_operators_one_wins_and_the_other_gets_a_conflict(
    log, path
):
    await tool(log, "apply", path)
    rival = {"change_id": "rival", "expected_version": 2, "author": "bob"}
    log.interposed = [{**log.stream("config").records[1].data, **rival}]
    path.write_text(FILE.replace('version = "1"', 'version = "2"'))
    code, results = await tool(log, "apply", path, "--author", "ann")
    assert code == ExitCode.REFUSED
    assert results[0]["status"] == "conflict"
    assert results[0]["detail"] == "expected version 2, found 3"
    _, entries = await tool(log, "audit", "--kind", "profile")
    assert [(e["author"], e["verdict"]) for e in entries[1:]] == [
        ("bob", "accepted"),
        ("ann", "conflict"),
    ]


async def test_a_change_whose_answer_was_lost_is_read_back(log, path):
    log.switches.lose_answers = 1
    code, results = await tool(log, "apply", path)
    assert code == ExitCode.OK
    assert [r["status"] for r in results] == ["accepted", "accepted"]
    assert log.stream("config").next_offset == 2


async def test_a_key_is_printed_once_published_as_a_hash_and_withdrawn(log, path):
    await tool(log, "apply", path)
    code, issued = await tool(log, "key", "issue", "--team", "depot")
    assert code == ExitCode.OK
    assert issued["key"].startswith("skp_")
    assert issued["name"] == hash_key(issued["key"])
    assert issued["key"] not in str(log.stream("config").records)
    code, _ = await tool(log, "key", "withdraw", issued["name"][:12])
    assert code == ExitCode.OK
    _, shown = await tool(log, "get", "key", issued["name"])
    assert shown["withdrawn"]
    code, errors = await tool(log, "key", "issue", "--team", "nobody")
    assert (code, "nobody" in errors) == (ExitCode.REFUSED, True)


async def test_an_unavailable_log_is_reported(log, monkeypatch):
    monkeypatch.setattr("skylarkpost.cli.session.UNAVAILABLE_AFTER_S", 0.0)
    log.switches.outage = True
    code, errors = await tool(log, "list", "team")
    assert code == ExitCode.UNAVAILABLE
    assert "did not answer" in errors


async def test_missing_items_and_addresses_are_reported(log, monkeypatch):
    monkeypatch.delenv("SKYLARKPOST_LOG_URL", raising=False)
    code, _ = await tool(log, "get", "team", "nobody")
    assert code == ExitCode.REFUSED
    assert await run(["list", "team"], stderr=io.StringIO()) == ExitCode.USAGE
    assert await run(["status"], stderr=io.StringIO()) == ExitCode.USAGE


async def test_check_settings_reports_all_faults(tmp_path):
    path = tmp_path / "instance.toml"
    path.write_text("[instance]\nid = 3\n")
    stdout = io.StringIO()
    code = await run(["check-settings", str(path)], stdout=stdout)
    assert code == ExitCode.USAGE
    assert "instance.id = 3" in stdout.getvalue()
    assert "platform" in stdout.getvalue()


class AdminStandIn(StandIn):
    """An instance's admin API that knows one request."""

    def routes(self):
        return [
            Route("/admin/status", self.status),
            Route("/admin/explain/{request_id}", self.explain),
        ]

    async def status(self, request):
        parts = {"config": {"applied_offset": 7}}
        degraded = ["The log is down."]
        return JSONResponse(
            {
                "instance": "entry-1",
                "data_centre": "ikeja",
                "boot": "b1",
                "ready": True,
                "leaving": False,
                "degraded": degraded,
                "controllers": parts,
            }
        )

    async def explain(self, request):
        if request.path_params["request_id"] != "r1":
            return JSONResponse({"error": "unknown request"}, status_code=404)
        decision = {"at": 5.0, "filter": "key", "decision": "passed", "detail": ""}
        content = {"request_id": "r1", "team": "depot", "profile": "plan"}
        return JSONResponse(content | {"decisions": [decision], "outcome": "answered"})


async def test_status_and_explain_query_all_instances():
    async with serving(AdminStandIn()) as urls:
        stdout, stderr = io.StringIO(), io.StringIO()
        options = ["--instances", f"{urls[0]},http://127.0.0.1:1"]
        code = await run(["status", *options], stdout=stdout)
        assert code == ExitCode.UNAVAILABLE
        assert "entry-1 in ikeja" in stdout.getvalue()
        assert "config: applied_offset=7" in stdout.getvalue()
        assert "degraded: The log is down." in stdout.getvalue()
        assert await run(["explain", "r1", *options], stdout=stdout) == ExitCode.OK
        assert "outcome: answered" in stdout.getvalue()
        code = await run(["explain", "r2", *options], stderr=stderr)
        assert code == ExitCode.UNAVAILABLE
        code = await run(["explain", "r2", "--instances", urls[0]], stderr=stderr)
        assert code == ExitCode.REFUSED
