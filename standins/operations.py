"""Operations of operators and callers on a fleet through its public interfaces."""

import io
import json
from typing import NamedTuple

from skylarkpost.cli import ExitCode, run

__all__ = ["Caller", "Reply", "issue_key", "items_toml", "publish", "run_cli"]

POOL = "granite"
SERVICE_POOL = "booking-desk"


def items_toml(fleet, *, teams, profiles, fencing=True, slots=4, batch_limit=8):
    """Return an items file for the `apply` command.

    Parameters
    ----------
    fleet : standins.fleet.Fleet
        Fleet whose targets are published.
    teams : dict of str to (float, float)
        Rate and burst by team.
    profiles : dict of str to (str, str, list of str, int)
        Adapter, version, teams and urgency by profile.
    fencing : bool
        Whether the engines check fencing numbers.
    slots, batch_limit : int
        Adapter slots and batch limit of each engine.

    Returns
    -------
    str
        TOML.
    """
    lines = []
    for name, data_centre in fleet.shape.engines:
        lines += _target(fleet, name, data_centre, "engine", POOL)
        lines += [f"fencing = {str(fencing).lower()}", f"slots = {slots}"]
        lines += [f"batch_limit = {batch_limit}"]
    for name, data_centre in fleet.shape.services:
        lines += _target(fleet, name, data_centre, "service", SERVICE_POOL)
        lines += ["fencing = false", "slots = 0", "batch_limit = 64"]
    for name, repeatable, is_open in (
        ("roster", "true", "false"),
        ("reservations", "false", "false"),
        ("opening-hours", "true", "true"),
    ):
        lines += [f"[routes.{name}]", f'pool = "{SERVICE_POOL}"']
        lines += [f"repeatable = {repeatable}", f"open = {is_open}"]
        lines += ['methods = ["GET", "POST"]']
    for team, (rate, burst) in teams.items():
        lines += [f"[teams.{team}]", f"rate = {rate}", f"burst = {burst}"]
    for name, (adapter, version, allowed, urgency) in profiles.items():
        lines += [f"[profiles.{name}]", f'base_model = "{POOL}"']
        lines += [f'adapter = "{adapter}"', f'version = "{version}"']
        lines += [f"teams = {json.dumps(allowed)}", f"urgency = {urgency}"]
    return "\n".join(lines) + "\n"


def _target(fleet, name, data_centre, kind, pool):
    address = fleet.urls[name].removeprefix("http://")
    return [
        f"[targets.{name}]",
        f'kind = "{kind}"',
        f'pool = "{pool}"',
        f'address = "{address}"',
        f'data_centre = "{data_centre}"',
    ]


async def run_cli(fleet, *arguments):
    """Run the operators' command line; return its exit code and parsed output."""
    stdout, stderr = io.StringIO(), io.StringIO()
    argv = [*arguments, "--json", "--log-url", fleet.operator_log_url]
    code = await run(argv, stdout=stdout, stderr=stderr)
    text = stdout.getvalue()
    return code, json.loads(text) if text else stderr.getvalue()


async def publish(fleet, text, *, reason):
    """Write an items file and publish it with the `apply` command."""
    path = fleet.directory / "items.toml"
    path.write_text(text)
    options = ("--author", "operator", "--reason", reason)
    code, printed = await run_cli(fleet, "apply", str(path), *options)
    assert code == ExitCode.OK, printed
    return printed


async def issue_key(fleet, team):
    """Issue a key for a team; return the key and its hash."""
    code, issued = await run_cli(fleet, "key", "issue", "--team", team)
    assert code == ExitCode.OK, issued
    return issued["key"], issued["name"]


class Reply(NamedTuple):
    """Answer received by a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    text : str
        Text of the completion, or the body of a plain service's answer.
    error : dict or None
        Error object, including one sent inside a stream.
    request_id : str
        Request id, as used by the `explain` command.
    complete : bool
        Whether the answer is complete.
    """

    status: int
    text: str
    error: dict | None
    request_id: str
    complete: bool


class Caller:
    """Client that sends requests with a caller's key.

    Parameters
    ----------
    fleet : standins.fleet.Fleet
        Fleet whose instances are called.
    key : str or None
        API key; None sends no key.
    """

    def __init__(self, *, fleet, key):
        self.fleet = fleet
        self.headers = {"Authorization": f"Bearer {key}"} if key else {}

    async def chat(self, instance, profile, prompt, *, on_chunk=None, **options):
        """Send a chat request; streamed if `on_chunk` is given.

        Parameters
        ----------
        instance : str
            Instance that receives the request.
        profile, prompt : str
            Profile and text of the prompt.
        on_chunk : callable or None
            Called with each piece of text as it is received.
        **options
            Additional fields of the request body.

        Returns
        -------
        Reply
        """
        content = {
            "model": profile,
            "messages": [{"role": "user", "content": prompt}],
            "stream": on_chunk is not None,
            **options,
        }
        url = self.fleet.urls[instance] + "/v1/chat/completions"
        async with self.fleet.http.post(
            url, json=content, headers=self.headers
        ) as response:
            request_id = response.headers.get("x-request-id", "")
            if response.status != 200 or on_chunk is None:
                body = await response.json()
                return _whole_reply(response.status, body, request_id)
            return await _read_stream(response, request_id, on_chunk)

    async def call(self, instance, method, path, *, headers=None, body=None):
        """Call a plain service.

        Returns
        -------
        Reply
        """
        url = self.fleet.urls[instance] + path
        async with self.fleet.http.request(
            method, url, json=body, headers={**self.headers, **(headers or {})}
        ) as response:
            text = await response.text()
            error = json.loads(text).get("error") if response.status >= 400 else None
            request_id = response.headers.get("x-request-id", "")
            complete = response.status < 400
            return Reply(response.status, text, error, request_id, complete)


def _whole_reply(status, body, request_id):
    if status != 200:
        return Reply(status, "", body["error"], request_id, False)
    text = body["choices"][0]["message"]["content"]
    return Reply(status, text, None, request_id, True)


async def _read_stream(response, request_id, on_chunk):
    pieces, error, complete = [], None, False
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        data = line[len(b"data: ") :].strip()
        if data == b"[DONE]":
            complete = True
            continue
        chunk = json.loads(data)
        error = chunk.get("error", error)
        for choice in chunk.get("choices", []):
            piece = choice["delta"].get("content") or ""
            pieces.append(piece)
            on_chunk(piece)
    return Reply(response.status, "".join(pieces), error, request_id, complete)
