"""Conversion of outcomes to HTTP responses."""

import math
from typing import TypedDict

from starlette.responses import JSONResponse, StreamingResponse

from skylarkpost.outcomes import Refused

__all__ = ["ErrorBody", "error_body", "refusal_response", "relayed_response"]

REQUEST_ID_HEADER = "x-request-id"


class ErrorBody(TypedDict, total=False):
    """The ``error`` object in the body of a refusal.

    Attributes
    ----------
    code, message, run_state, request_id : str
        Reason and explanation of the refusal, whether the request ran, and
        its id.
    retry_after : float
        Seconds after which a retry may succeed.
    """

    code: str
    message: str
    run_state: str
    request_id: str
    retry_after: float


def error_body(refused, *, request_id):
    """Return the body of a refusal.

    Parameters
    ----------
    refused : Refused
        The outcome.
    request_id : str
        Id of the request.

    Returns
    -------
    dict
        ``{"error": ErrorBody}``.
    """
    error = ErrorBody(
        code=str(refused.reason),
        message=refused.message,
        run_state=str(refused.run_state),
        request_id=request_id,
    )
    if refused.retry_after is not None:
        error["retry_after"] = round(refused.retry_after, 3)
    return {"error": error}


def refusal_response(refused, *, request_id):
    """Return the response for a refusal.

    Parameters
    ----------
    refused : Refused
        The outcome.
    request_id : str
        Id of the request.

    Returns
    -------
    starlette.responses.JSONResponse
    """
    headers = {REQUEST_ID_HEADER: request_id}
    if refused.retry_after is not None:
        headers["retry-after"] = str(math.ceil(refused.retry_after))
    return JSONResponse(
        error_body(refused, request_id=request_id),
        status_code=refused.reason.status,
        headers=headers,
    )


def relayed_response(relayed, *, request_id, body):
    """Return the response for an answer.

    Parameters
    ----------
    relayed : Relayed
        The outcome.
    request_id : str
        Id of the request.
    body : async iterator of bytes
        The body of the answer, in chunks.

    Returns
    -------
    starlette.responses.Response
    """
    assert not isinstance(relayed, Refused)
    headers = {**relayed.headers, REQUEST_ID_HEADER: request_id}
    return StreamingResponse(body, status_code=relayed.status, headers=headers)
