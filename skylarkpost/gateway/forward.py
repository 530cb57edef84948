"""Filter that sends a request to its target and passes the answer on."""

import asyncio
import logging
from typing import NamedTuple

from skylarkpost.controllers import GATEWAY
from skylarkpost.eventlog import log_event
from skylarkpost.filters import Filter, register_filter
from skylarkpost.gateway.retries import (
    AttemptFailure,
    FailureKind,
    RetryRule,
    may_try_again,
)
from skylarkpost.outcomes import Reason, Refused, Relayed, RunState
from skylarkpost.platform import HeaderCodec
from skylarkpost.routing import RouteKind
from skylarkpost.transport import (
    AnswerBroken,
    AnswerHead,
    BodyBrokenError,
    ConnectFailed,
    NoConnection,
    encode_request,
)
from skylarkpost.transport.headers import forwardable

__all__ = ["ForwardFilter"]

logger = logging.getLogger(__name__)

# Answers up to this size are read whole before the caller sees anything, so
# that a target which breaks off can be replaced.
MAX_WHOLE_BYTES = 262_144
EVENT_END = b"\n\n"
LEAST_RETRY_S = 0.2
SERVER_ERROR = 500


class Answer(NamedTuple):
    """An answer that has begun.

    Attributes
    ----------
    head : AnswerHead
        Status and headers.
    pieces : list of bytes
        What was read of the body so far.
    is_whole : bool
        Whether that is all.
    """

    head: AnswerHead
    pieces: list
    is_whole: bool


@register_filter("forward", order=80, front_ends=(GATEWAY,))
class ForwardFilter(Filter):
    """Sends the request; tries another target where that is safe."""

    async def apply(self, exchange):
        """Relay the answer of a target. See `Filter.apply`."""
        services = self.services
        route = exchange.route
        rule = RetryRule(route.kind, route.is_resumable, route.max_targets)
        budget = services.retry_budget(exchange.service.name)
        budget.first_try()
        avoid = set()
        while True:
            ticket = exchange.ticket
            result = await self._attempt(exchange, ticket)
            self._judge(exchange, ticket, result)
            if exchange.cancelled is not None:
                return exchange.cancelled
            if not isinstance(result, AttemptFailure):
                return result
            now = services.clock()
            self._note_failure(exchange, ticket, result, now)
            avoid.add(ticket.target)
            again = may_try_again(
                rule,
                result,
                targets_tried=len(exchange.targets_tried),
                time_left=exchange.deadline - now,
                budget=budget,
            )
            if not again:
                return self._final(exchange, result)
            outcome = await self._next_ticket(exchange, frozenset(avoid))
            if isinstance(outcome, Refused):
                return self._after(exchange, result, outcome)
            exchange.ticket = outcome

    def _judge(self, exchange, ticket, result):
        if exchange.cancelled is not None:
            return
        kind = result.kind if isinstance(result, AttemptFailure) else None
        if kind is FailureKind.TIMED_OUT and exchange.dispatched:
            reached, failed = True, True
        else:
            reached = kind not in (FailureKind.NOT_SENT, FailureKind.UNKNOWN)
            failed = kind is FailureKind.FAILED or (
                kind is None and result.status >= SERVER_ERROR
            )
        controller = self.services.controllers["stewardship"]
        controller.note_result(ticket, reached=reached, failed=failed)

    async def _next_ticket(self, exchange, avoid):
        controller = self.services.controllers["stewardship"]
        ticket, exchange.ticket = exchange.ticket, None
        controller.release(ticket, succeeded=False)
        return await controller.acquire(
            exchange, avoid=avoid, now=self.services.clock()
        )

    async def _attempt(self, exchange, ticket):
        services = self.services
        connection = await services.connect(ticket, exchange.service)
        if isinstance(connection, ConnectFailed | NoConnection):
            return AttemptFailure(FailureKind.NOT_SENT, connection.detail)
        now = services.clock()
        left = exchange.deadline - now
        if left <= 0 or exchange.cancelled is not None:
            services.pool.put_back(ticket.boot, connection)
            return AttemptFailure(FailureKind.TIMED_OUT, "no time left to send")
        exchange.connection = connection
        loop = asyncio.get_running_loop()
        timer = loop.call_later(left, exchange.time_out)
        exchange.targets_tried.add(ticket.boot)
        exchange.dispatched = True
        log_event(
            logger,
            "attempt-sent",
            request=exchange.request_id,
            target=ticket.target,
            adapter=ticket.lora_name or None,
            left=left,
            waited=now - exchange.received_at,
            reused=connection.used > 0,
        )
        connection.send(self._payload(exchange, ticket, left))
        keep_timer = False
        try:
            result = await self._read_answer(exchange, ticket, connection)
            if isinstance(result, Relayed):
                keep_timer = True
                exchange.timer = timer
            return result
        finally:
            if not keep_timer:
                timer.cancel()
                if exchange.connection is not None:
                    self._end_connection(exchange, ticket, connection)

    def _payload(self, exchange, ticket, left):
        incoming = exchange.incoming
        headers = HeaderCodec.for_target(
            forwardable(incoming.headers),
            target=ticket.target,
            team=exchange.team,
            patience=left,
            urgency_rank=exchange.rank if exchange.is_model_request else None,
        )
        return encode_request(incoming.method, incoming.target, headers, incoming.body)

    async def _read_answer(self, exchange, ticket, connection):
        began = await self._read_head(exchange, connection)
        if isinstance(began, AttemptFailure):
            return began
        head, metadata = began
        is_stream = exchange.route.kind is RouteKind.STREAM and head.status < 300
        if is_stream:
            return self._relay(exchange, ticket, connection, head, [])
        pieces, size = [], 0
        while True:
            event = await connection.receive()
            if isinstance(event, bytes):
                pieces.append(event)
                size += len(event)
                if size > MAX_WHOLE_BYTES:
                    return self._relay(exchange, ticket, connection, head, pieces)
            elif isinstance(event, AnswerBroken):
                return self._broken(exchange, event.detail)
            else:
                break
        answer = Answer(head, pieces, True)
        if metadata.not_executed:
            return AttemptFailure(
                FailureKind.NOT_EXECUTED,
                f"status {head.status}",
                answer,
                metadata.is_misdirected,
            )
        is_failure = head.status >= SERVER_ERROR
        if is_failure and exchange.route.is_repeatable:
            return AttemptFailure(FailureKind.FAILED, f"status {head.status}", answer)
        return self._whole(answer)

    async def _read_head(self, exchange, connection):
        while True:
            event = await connection.receive()
            if isinstance(event, AnswerBroken):
                return self._broken(exchange, event.detail)
            if not isinstance(event, AnswerHead):
                continue
            metadata = HeaderCodec.read_answer(event.status, event.headers)
            expected = exchange.metadata.attempt_id
            if metadata.attempt_id in (None, expected):
                return event, metadata
            # A late answer to an earlier request on this connection.
            self.services.metrics.count_event("late-answer-dropped")
            log_event(
                logger,
                "late-answer-dropped",
                request=exchange.request_id,
                answers=metadata.attempt_id,
            )
            await connection.skip_answer()

    def _relay(self, exchange, ticket, connection, head, pieces):
        headers = forwardable(head.headers)
        body = self._pieces(exchange, ticket, connection, pieces)
        return Relayed(status=head.status, headers=headers, body=body)

    def _whole(self, answer):
        headers = forwardable(answer.head.headers)
        if not any(name == "content-length" for name, _ in headers):
            size = sum(len(piece) for piece in answer.pieces)
            headers.append(("content-length", str(size)))
        return Relayed(
            status=answer.head.status, headers=headers, body=_yield_all(answer.pieces)
        )

    async def _pieces(self, exchange, ticket, connection, pieces):
        try:
            for piece in pieces:
                yield piece
            while True:
                event = await connection.receive()
                if isinstance(event, bytes):
                    if exchange.first_byte_at is None:
                        exchange.first_byte_at = self.services.clock()
                    yield event
                elif isinstance(event, AnswerBroken):
                    log_event(
                        logger,
                        "stream-broken",
                        request=exchange.request_id,
                        target=ticket.target,
                        detail=event.detail,
                        timed_out=exchange.timed_out,
                    )
                    raise BodyBrokenError(event.detail)
                else:
                    return
        finally:
            if exchange.timer is not None:
                exchange.timer.cancel()
            self._end_connection(exchange, ticket, connection)

    def _end_connection(self, exchange, ticket, connection):
        exchange.connection = None
        if connection.at_work:
            connection.abort()
        else:
            self.services.pool.put_back(ticket.boot, connection)

    def _broken(self, exchange, detail):
        if exchange.timed_out:
            return AttemptFailure(FailureKind.TIMED_OUT, "no answer in time")
        return AttemptFailure(FailureKind.UNKNOWN, detail)

    def _note_failure(self, exchange, ticket, failure, now):
        exchange.note("forward", failure.kind, now=now, detail=ticket.target)
        log_event(
            logger,
            "attempt-failed",
            request=exchange.request_id,
            target=ticket.target,
            kind=failure.kind,
            detail=failure.detail,
            left=exchange.deadline - now,
        )

    def _after(self, exchange, failure, refused):
        if failure.kind in (FailureKind.NOT_SENT, FailureKind.NOT_EXECUTED):
            return refused
        return self._final(exchange, failure)

    def _final(self, exchange, failure):
        if failure.kind is FailureKind.FAILED:
            return self._whole(failure.answer)
        if failure.kind in (FailureKind.NOT_SENT, FailureKind.NOT_EXECUTED):
            if exchange.deadline <= self.services.clock():
                return _refused(Reason.DEADLINE_PASSED, failure, RunState.NOT_RUN)
            return _refused(
                Reason.RETRIES_EXHAUSTED, failure, RunState.NOT_RUN, LEAST_RETRY_S
            )
        if failure.kind is FailureKind.TIMED_OUT:
            ran = RunState.UNKNOWN if exchange.dispatched else RunState.NOT_RUN
            return _refused(Reason.TARGET_TIMEOUT, failure, ran)
        return _refused(Reason.TARGET_FAILED, failure, RunState.UNKNOWN)


def _refused(reason, failure, run_state, retry_after=None):
    return Refused(
        reason=reason,
        message=failure.detail,
        run_state=run_state,
        retry_after=retry_after,
    )


async def _yield_all(pieces):
    for piece in pieces:
        yield piece
