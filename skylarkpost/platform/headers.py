"""Codec for the platform's request and response headers."""

import math
import re

from skylarkpost.gateway.metadata import AnswerMetadata, PromptPart, RequestMetadata

__all__ = ["HeaderCodec"]

ATTEMPT = "x-attempt-id"
DEADLINE = "x-deadline-ms"
MODEL = "x-model"
TOKENS = "x-token-count"
PROMPT_PARTS = "x-prompt-prefix"
EXPECT_TARGET = "x-expect-instance"
EXPECT_VERSION = "x-expect-version"
TENANT = "x-tenant"
PRIORITY = "x-request-priority"
NOT_EXECUTED = "x-not-executed"
LAST_EVENT = "last-event-id"
# Attempt that brought the first event of a stream that is taken up.
RESUMES = "resumes"
STAMP = "x-server-stamp"
# Requests a second that a target accepts from all instances together.
REQUEST_LIMIT = "server-limit"
LEAVING = "server-leaving"
RETRY_AFTER = "retry-after"
# How much longer a target warms up.
WARM_UP_LEFT = "x-cold-ms"
AUTHORIZATION = "authorization"
KEY_SCHEME = "bearer "
TOKEN_COUNT = re.compile(r"[0-9]{1,15}")
MS_PER_S = 1000.0

# Headers that only this system sets; a caller's values are dropped.
RESERVED = frozenset(
    {
        AUTHORIZATION,
        EXPECT_TARGET,
        EXPECT_VERSION,
        TENANT,
        PRIORITY,
        DEADLINE,
        "x-pin-ms",
        "x-hold",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)


class HeaderCodec:
    """Reads and writes the platform's headers.

    Header names are in lower case; values are Latin-1 text.
    """

    @staticmethod
    def read_request(headers):
        """Decode the headers of a caller's request.

        Parameters
        ----------
        headers : list of (str, str)
            As received; names in lower case.

        Returns
        -------
        RequestMetadata
            Values that cannot be parsed count as missing.
        """
        values = dict(headers)
        model, _, adapter = values.get(MODEL, "").partition("/")
        prompt, output = _parse_token_counts(values.get(TOKENS))
        authorization = values.get(AUTHORIZATION, "")
        key = None
        if authorization.lower().startswith(KEY_SCHEME):
            key = authorization[len(KEY_SCHEME) :].strip()
        return RequestMetadata(
            attempt_id=values.get(ATTEMPT, ""),
            key=key,
            timeout=_parse_seconds(values.get(DEADLINE)),
            model=model or None,
            adapter=adapter or None,
            prompt_tokens=prompt,
            output_tokens=output,
            prompt_parts=_parse_prompt_parts(values.get(PROMPT_PARTS)),
            last_event_id=values.get(LAST_EVENT),
            resumes=values.get(RESUMES, "").strip() or None,
        )

    @staticmethod
    def for_target(
        headers, *, target, team, timeout, urgency_rank, adapter_version=None
    ):
        """Return the headers of the request to a target.

        Parameters
        ----------
        headers : list of (str, str)
            The caller's headers without hop-by-hop headers.
        target : str
            Id of the expected target; any other target must refuse the request.
        team : str or None
            Team that owns the caller's key.
        timeout : float
            Remaining time of the request, in seconds.
        urgency_rank : int or None
            0 is the most urgent; None leaves the priority to the target.
        adapter_version : str or None
            Version of the adapter that the request has to run on; a target that holds
            another one must refuse the request. None without an adapter.

        Returns
        -------
        list of (str, str)
        """
        kept = [(name, value) for name, value in headers if name not in RESERVED]
        kept.append((EXPECT_TARGET, target))
        kept.append((DEADLINE, str(max(1, math.floor(timeout * MS_PER_S)))))
        if team is not None:
            kept.append((TENANT, team))
        if adapter_version is not None:
            kept.append((EXPECT_VERSION, adapter_version))
        if urgency_rank is not None:
            kept.append((PRIORITY, str(min(9, max(0, urgency_rank)))))
        return kept

    @staticmethod
    def with_last_event_id(headers, last_event_id):
        """Return a request's headers with ``Last-Event-ID`` set.

        Parameters
        ----------
        headers : list of (str, str)
            The caller's headers.
        last_event_id : str
            Id of the last event that the caller received; the stream resumes after it.

        Returns
        -------
        list of (str, str)
        """
        kept = [(name, value) for name, value in headers if name != LAST_EVENT]
        return [*kept, (LAST_EVENT, last_event_id)]

    @staticmethod
    def read_answer(status, headers):
        """Decode the headers of a target's response.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : list of (str, str)
            As received; names in lower case.

        Returns
        -------
        AnswerMetadata
        """
        values = dict(headers)
        attempt = values.get(ATTEMPT)
        misdirected = status == 421
        return AnswerMetadata(
            attempt_id=attempt,
            not_executed=NOT_EXECUTED in values or misdirected,
            is_stamped=STAMP in values,
            request_limit=_parse_rate(values.get(REQUEST_LIMIT)),
            is_leaving=values.get(LEAVING, "").strip() == "1",
            pause=values.get(RETRY_AFTER) if status == 503 else None,
            warm_up_left=_parse_seconds(values.get(WARM_UP_LEFT)),
        )


def _parse_seconds(text):
    try:
        value = float(text)
    except (TypeError, ValueError):
        return None
    return value / MS_PER_S if math.isfinite(value) and value > 0 else None


def _parse_rate(text):
    try:
        value = float(text)
    except (TypeError, ValueError):
        return None
    return value if math.isfinite(value) and value >= 0 else None


def _parse_token_counts(text):
    if text is None:
        return None, None
    prompt, _, output = (each.strip() for each in text.partition(","))
    counts = [prompt, output or "0"]
    if not all(TOKEN_COUNT.fullmatch(each) for each in counts):
        return None, None
    return int(counts[0]), int(counts[1])


def _parse_prompt_parts(text):
    if not text:
        return ()
    parts = []
    for each in text.split(","):
        part_id, _, tokens = each.strip().rpartition(":")
        if not part_id or TOKEN_COUNT.fullmatch(tokens) is None:
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)
