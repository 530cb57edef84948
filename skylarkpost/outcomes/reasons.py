"""Reasons for which a request is refused, with their HTTP status."""

import enum

__all__ = ["Reason"]


class Reason(enum.StrEnum):
    """Why a request was refused.

    The values appear in responses, metrics and logs.
    """

    BAD_REQUEST = "bad-request"
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    KEY_WITHDRAWN = "key-withdrawn"
    KEY_IN_CONTENT = "key-in-content"
    PROFILE_UNKNOWN = "profile-unknown"
    PROFILE_FORBIDDEN = "profile-forbidden"
    ROUTE_UNKNOWN = "route-unknown"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    TOO_LARGE = "too-large"
    QUARANTINED = "quarantined"
    CRASH_SUSPECT = "crash-suspect"
    OVER_RATE = "over-rate"
    TEAM_UNKNOWN = "team-unknown"
    LIMIT_UNREACHABLE = "limit-unreachable"
    IDEMPOTENCY_KEY_MISSING = "idempotency-key-missing"
    IDEMPOTENCY_KEY_INVALID = "idempotency-key-invalid"
    IDEMPOTENCY_KEY_TOO_OLD = "idempotency-key-too-old"
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    CLAIM_RUNNING = "claim-running"
    CLAIM_OUTCOME_UNKNOWN = "claim-outcome-unknown"
    CLAIM_LOG_UNAVAILABLE = "claim-log-unavailable"
    NO_TARGET = "no-target"
    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"
    TARGETS_PAUSED = "targets-paused"
    LOAD_FAILED = "load-failed"
    RETRIES_EXHAUSTED = "retries-exhausted"
    TARGET_FAILED = "target-failed"
    TARGET_TIMEOUT = "target-timeout"
    STREAM_BROKEN = "stream-broken"
    STREAM_VERSION_UNKNOWN = "stream-version-unknown"
    STREAM_VERSION_GONE = "stream-version-gone"
    DEADLINE_PASSED = "deadline-passed"
    CALLER_LEFT = "caller-left"
    TOO_MANY_OPEN = "too-many-open"
    NOT_READY = "not-ready"
    SHUTTING_DOWN = "shutting-down"

    @property
    def status(self):
        """HTTP status code sent with this reason."""
        return _STATUS.get(self, 503)


_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.KEY_IN_CONTENT: 400,
    Reason.PROFILE_UNKNOWN: 404,
    Reason.PROFILE_FORBIDDEN: 403,
    Reason.ROUTE_UNKNOWN: 404,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.TOO_LARGE: 413,
    Reason.QUARANTINED: 422,
    Reason.CRASH_SUSPECT: 503,
    Reason.OVER_RATE: 429,
    Reason.IDEMPOTENCY_KEY_MISSING: 400,
    Reason.IDEMPOTENCY_KEY_INVALID: 400,
    Reason.IDEMPOTENCY_KEY_TOO_OLD: 409,
    Reason.IDEMPOTENCY_KEY_REUSED: 422,
    Reason.CLAIM_RUNNING: 409,
    Reason.CLAIM_OUTCOME_UNKNOWN: 409,
    Reason.TARGET_FAILED: 502,
    Reason.TARGET_TIMEOUT: 504,
    Reason.STREAM_BROKEN: 502,
    Reason.DEADLINE_PASSED: 504,
    Reason.CALLER_LEFT: 499,
}
