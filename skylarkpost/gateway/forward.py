"""Filter that sends a request to its target and relays the answer."""

import asyncio
import logging
from typing import NamedTuple

from skylarkpost.controllers import GATEWAY
from skylarkpost.eventlog import log_event
from skylarkpost.filters import Filter, register_filter, shutdown_refusal
from skylarkpost.gateway.event_buffer import EventBuffer
from skylarkpost.gateway.retries import (
    AttemptFailure,
    FailureKind,
    RetryPolicy,
    may_retry,
)
from skylarkpost.outcomes import Reason, Refused, Relayed, RunState
from skylarkpost.platform import HeaderCodec
from skylarkpost.quarantine import Clear
from skylarkpost.routing import RouteKind
from skylarkpost.stewardship.steward_executor import split_lora_name
from skylarkpost.transport import (
    BodyBrokenError,
    ConnectFailed,
    PoolExhausted,
    ResponseBroken,
    ResponseHead,
    encode_request,
)
from skylarkpost.transport.headers import strip_hop_by_hop

__all__ = ["ForwardFilter"]

logger = logging.getLogger(__name__)

# Answers up to this size are buffered in full before the caller receives any of
# them, so that another target can be tried if the connection breaks.
MAX_BUFFERED_BYTES = 262_144
# A target may send without end what is no event; events are some kilobytes long.
MAX_EVENT_BYTES = 1_048_576
# With a shorter delay callers would retry before anything has changed.
MIN_RETRY_AFTER_S = 0.2
FIRST_SERVER_ERROR_STATUS = 500
# Targets refuse connections immediately, so retries without a delay would spin.
NOT_SENT_RETRY_S = 0.02
FIRST_NON_SUCCESS_STATUS = 300
# A resumed stream must not wait for a target that does not answer.
BEGUN_PROBE_WAIT_S = 0.05
# Kinds of failures after which the target has not received the request.
UNSENT = (FailureKind.NOT_SENT, FailureKind.HELD_BACK)


class BufferedAnswer(NamedTuple):
    """An answer that was read completely.

    Attributes
    ----------
    head : ResponseHead
        Status and headers.
    chunks : list of bytes
        The body.
    """

    head: ResponseHead
    chunks: list


@register_filter("forward", order=80, front_ends=(GATEWAY,))
class ForwardFilter(Filter):
    """Sends a request, and tries another target where a retry is safe."""

    async def apply(self, exchange):
        """Relay the answer of a target. See `Filter.apply`."""
        services = self.services
        services.retry_budget(exchange.service.name).record_first_attempt()
        avoid = set()
        while True:
            ticket = exchange.ticket
            result = await self._attempt(exchange, ticket)
            self._note_result(exchange, ticket, result)
            if exchange.cancelled is not None:
                return exchange.cancelled
            if not isinstance(result, AttemptFailure):
                return result
            now = services.clock()
            self._note_failure(exchange, ticket, result, now)
            if result.kind is FailureKind.UNKNOWN:
                await self._note_lost(exchange, ticket, now)
            avoid.add(ticket.target)
            if not self._may_retry(exchange, result):
                return self._final_outcome(exchange, result)
            if result.kind is FailureKind.NOT_SENT:
                await asyncio.sleep(NOT_SENT_RETRY_S)
            outcome = await self._next_ticket(exchange, frozenset(avoid))
            if isinstance(outcome, Refused):
                return self._outcome_without_ticket(exchange, result, outcome)
            exchange.ticket = outcome

    async def _note_lost(self, exchange, ticket, now, *, has_begun=False):
        """Report a broken connection; wait for the result before a retry."""
        controller = self.services.controllers["crash-suspects"]
        probe = controller.note_lost(exchange, ticket, now, has_begun=has_begun)
        if probe is not None and exchange.route.is_repeatable:
            timeout = BEGUN_PROBE_WAIT_S if has_begun else None
            await asyncio.wait([probe], timeout=timeout)

    def _note_result(self, exchange, ticket, result):
        if exchange.cancelled is not None:
            return
        kind = result.kind if isinstance(result, AttemptFailure) else None
        if kind is FailureKind.HELD_BACK:
            return
        if kind is FailureKind.TIMED_OUT and exchange.dispatched:
            reached, failed = True, True
        else:
            reached = kind not in (FailureKind.NOT_SENT, FailureKind.UNKNOWN)
            failed = kind is FailureKind.FAILED or (
                kind is None and result.status >= FIRST_SERVER_ERROR_STATUS
            )
        # A target that asks for a pause is busy, not sick.
        failed = failed and not exchange.is_target_paused
        controller = self.services.controllers["stewardship"]
        controller.note_result(ticket, reached=reached, failed=failed)

    async def _next_ticket(self, exchange, avoid):
        controller = self.services.controllers["stewardship"]
        ticket, exchange.ticket = exchange.ticket, None
        controller.release(ticket, succeeded=exchange.is_target_paused)
        return await controller.acquire(
            exchange, avoid=avoid, now=self.services.clock()
        )

    async def _attempt(self, exchange, ticket):
        connection = await self._send(exchange, ticket)
        if isinstance(connection, AttemptFailure):
            return connection
        result = None
        try:
            result = await self._read_answer(exchange, ticket, connection)
            return result
        finally:
            if not isinstance(result, Relayed):
                self._end_connection(exchange, ticket, connection)

    async def _send(self, exchange, ticket):
        """Send the request; return its connection, or the failure."""
        services = self.services
        # The target may have said so while the request waited for its ticket.
        signals = services.controllers["target-signals"]
        reason = signals.wants_nothing(ticket, services.clock())
        exchange.is_target_paused = reason is not None
        versions = services.controllers["stream-versions"]
        if reason is None and versions.is_other_version(
            exchange, ticket, services.clock()
        ):
            reason = "another software version began the stream"
        if reason is not None:
            return AttemptFailure(FailureKind.HELD_BACK, reason)
        connection = await services.connect(ticket, exchange.service)
        while connection in exchange.used_connections:
            # Both attempts have the same id, so their answers look alike.
            connection.abort("used for the same request before")
            connection = await services.connect(ticket, exchange.service)
        if isinstance(connection, ConnectFailed | PoolExhausted):
            return AttemptFailure(FailureKind.NOT_SENT, connection.detail)
        now = services.clock()
        left = exchange.deadline - now
        route = exchange.route
        if not services.grace.can_finish(route.name, route.timeout, now):
            ran = RunState.UNKNOWN if exchange.dispatched else RunState.NOT_RUN
            exchange.cancel(shutdown_refusal(ran))
        if left <= 0 or exchange.cancelled is not None:
            services.pool.release_connection(ticket.boot, connection)
            return AttemptFailure(FailureKind.TIMED_OUT, "no time left to send")
        exchange.start_timer(left)
        exchange.sent_at = now
        exchange.run_version = versions.software_version(ticket)
        exchange.connection = connection
        exchange.used_connections.add(connection)
        exchange.targets_tried.add(ticket.boot)
        exchange.dispatched = True
        log_event(
            logger,
            "attempt-sent",
            request=exchange.request_id,
            target=ticket.target,
            boot=ticket.boot,
            adapter=ticket.lora_name or None,
            parts=_part_ids(exchange.metadata.prompt_parts),
            left=left,
            waited=now - exchange.received_at,
            reused=connection.request_count > 0,
            resumes=exchange.metadata.resumes,
        )
        connection.send(
            self._payload(exchange, ticket, left),
            is_head=exchange.incoming.method == "HEAD",
        )
        return connection

    def _payload(self, exchange, ticket, left):
        incoming = exchange.incoming
        headers = strip_hop_by_hop(incoming.headers)
        if exchange.last_event_id is not None:
            headers = HeaderCodec.with_last_event_id(headers, exchange.last_event_id)
        headers = HeaderCodec.for_target(
            headers,
            target=ticket.target,
            team=exchange.team,
            timeout=left,
            urgency_rank=exchange.rank if exchange.is_model_request else None,
            # What the engine holds is known from reports, which are some time old.
            adapter_version=_adapter_version(exchange, ticket),
        )
        return encode_request(incoming.method, incoming.target, headers, incoming.body)

    async def _read_answer(self, exchange, ticket, connection):
        head_result = await self._read_head(exchange, ticket, connection)
        if isinstance(head_result, AttemptFailure):
            return head_result
        head, metadata = head_result
        is_stream = (
            exchange.route.kind is RouteKind.STREAM
            and head.status < FIRST_NON_SUCCESS_STATUS
        )
        if is_stream:
            body = self._stream_body(exchange, ticket, connection, head)
            return _relayed(head, body)
        chunks, size = [], 0
        while True:
            event = await connection.receive()
            if isinstance(event, bytes):
                chunks.append(event)
                size += len(event)
                if size > MAX_BUFFERED_BYTES:
                    body = self._large_body(exchange, ticket, connection, chunks)
                    return _relayed(head, body)
            elif isinstance(event, ResponseBroken):
                return self._failure_from_break(exchange, event.detail)
            else:
                break
        self._end_connection(exchange, ticket, connection)
        answer = BufferedAnswer(head, chunks)
        if metadata.not_executed:
            return AttemptFailure(
                FailureKind.NOT_EXECUTED, f"status {head.status}", answer
            )
        self._note_answered(exchange)
        self._note_completed(exchange)
        is_failure = head.status >= FIRST_SERVER_ERROR_STATUS
        if is_failure and exchange.route.is_repeatable:
            return AttemptFailure(FailureKind.FAILED, f"status {head.status}", answer)
        return self._buffered_answer(answer)

    async def _read_head(self, exchange, ticket, connection):
        while True:
            event = await connection.receive()
            if isinstance(event, ResponseBroken):
                return self._failure_from_break(exchange, event.detail)
            if not isinstance(event, ResponseHead):
                continue
            metadata = HeaderCodec.read_answer(event.status, event.headers)
            expected = exchange.metadata.attempt_id
            signals = self.services.controllers["target-signals"]
            if metadata.attempt_id not in (None, expected):
                # The pause of an earlier refusal does not begin anew.
                metadata = metadata._replace(pause=None)
            signals.note_answer(
                ticket.target, ticket.boot, metadata, self.services.clock()
            )
            exchange.is_target_paused = metadata.pause is not None
            if metadata.attempt_id is None and connection.request_count > 1:
                # It may be a second copy of the answer to an earlier request.
                return AttemptFailure(
                    FailureKind.UNKNOWN, "an answer without the id of its request"
                )
            if metadata.attempt_id in (None, expected):
                if metadata.attempt_id is None:
                    # A copy of this answer couldn't be told from a later one.
                    connection.closes_after_response = True
                limits = self.services.controllers["target-limits"]
                limits.note_answer(
                    ticket, metadata.request_limit, sent_at=exchange.sent_at
                )
                if event.status < FIRST_NON_SUCCESS_STATUS and not metadata.is_stamped:
                    # Without the stamp this success can't be attributed to the target.
                    return AttemptFailure(
                        FailureKind.UNKNOWN, "a success without signature"
                    )
                return event, metadata
            # This is a late answer to an earlier request on the same connection.
            self.services.metrics.count_event("late-answer-dropped")
            log_event(
                logger,
                "late-answer-dropped",
                request=exchange.request_id,
                answers=metadata.attempt_id,
            )
            await connection.skip_response()

    def _buffered_answer(self, answer):
        headers = strip_hop_by_hop(answer.head.headers)
        if not any(name == "content-length" for name, _ in headers):
            size = sum(len(chunk) for chunk in answer.chunks)
            headers.append(("content-length", str(size)))
        return Relayed(
            status=answer.head.status, headers=headers, body=_iterate(answer.chunks)
        )

    async def _large_body(self, exchange, ticket, connection, chunks):
        try:
            for chunk in chunks:
                yield chunk
            while True:
                event = await connection.receive()
                if isinstance(event, ResponseBroken):
                    self._log_stream_break(exchange, ticket, event)
                    now = self.services.clock()
                    await self._note_lost(exchange, ticket, now, has_begun=True)
                    raise BodyBrokenError(event.detail)
                if not isinstance(event, bytes):
                    self._note_completed(exchange)
                    return
                yield event
        finally:
            self._end_connection(exchange, ticket, connection)

    async def _stream_body(self, exchange, ticket, connection, head):
        is_resumable = exchange.route.is_resumable
        event_buffer = EventBuffer()
        try:
            while True:
                event = await connection.receive()
                if isinstance(event, bytes):
                    complete = event_buffer.add(event)
                    if complete and exchange.first_byte_at is None:
                        self._note_first_event(exchange, ticket)
                    if event_buffer.is_repeating:
                        event = ResponseBroken("the events begin anew", True)
                    elif event_buffer.pending_bytes > MAX_EVENT_BYTES:
                        event = ResponseBroken("an event is too long", True)
                    else:
                        yield complete if is_resumable else event
                        continue
                stream_break = _stream_break(exchange, event, event_buffer)
                if stream_break is None:
                    self._note_completed(exchange)
                    return
                self._log_stream_break(exchange, ticket, stream_break)
                now = self.services.clock()
                has_begun = exchange.first_byte_at is not None
                await self._note_lost(exchange, ticket, now, has_begun=has_begun)
                resumed = None
                if is_resumable:
                    self._end_connection(exchange, ticket, connection)
                    resumed = await self._resume(
                        exchange, event_buffer, stream_break, head
                    )
                if resumed is None:
                    raise BodyBrokenError(stream_break.detail)
                ticket, connection = resumed
        finally:
            self._end_connection(exchange, ticket, connection)

    def _note_answered(self, exchange):
        controller = self.services.controllers["crash-suspects"]
        controller.note_answered(exchange, self.services.clock())

    def _note_completed(self, exchange):
        controller = self.services.controllers["crash-suspects"]
        controller.note_completed(exchange, self.services.clock())

    def _note_first_event(self, exchange, ticket):
        now = exchange.first_byte_at = self.services.clock()
        versions = self.services.controllers["stream-versions"]
        versions.note_first_event(exchange, ticket, now)
        self._note_answered(exchange)
        if exchange.is_model_request and len(exchange.targets_tried) == 1:
            controller = self.services.controllers["stewardship"]
            controller.note_first_token(exchange, now)

    async def _resume(self, exchange, event_buffer, stream_break, head):
        """Resume a stream at another target after its last complete event.

        `head` is that of the first answer, which the caller has received.
        """
        failure = AttemptFailure(FailureKind.UNKNOWN, stream_break.detail)
        event_buffer.begin_anew()
        exchange.last_event_id = event_buffer.last_id or exchange.metadata.last_event_id
        avoid = {exchange.ticket.target}
        while self._may_retry(exchange, failure):
            ticket = await self._next_ticket(exchange, frozenset(avoid))
            if isinstance(ticket, Refused):
                return None
            exchange.ticket = ticket
            connection = await self._send(exchange, ticket)
            failure = connection
            if not isinstance(connection, AttemptFailure):
                head_result = await self._read_head(exchange, ticket, connection)
                failure = head_result
                if not isinstance(head_result, AttemptFailure):
                    if _continues(head, head_result[0]):
                        log_event(
                            logger,
                            "stream-resumed",
                            request=exchange.request_id,
                            target=ticket.target,
                            boot=ticket.boot,
                            after=exchange.last_event_id,
                        )
                        return ticket, connection
                    failure = AttemptFailure(
                        FailureKind.NOT_EXECUTED, f"status {head_result[0].status}"
                    )
                self._end_connection(exchange, ticket, connection)
            self._note_result(exchange, ticket, failure)
            avoid.add(ticket.target)
        return None

    def _may_retry(self, exchange, failure):
        route = exchange.route
        exchange.unsent_attempts += failure.kind in UNSENT
        controller = self.services.controllers["crash-suspects"]
        verdict = controller.verdict(exchange, self.services.clock())
        if exchange.cancelled is not None or not isinstance(verdict, Clear):
            return False
        return may_retry(
            RetryPolicy(route.kind, route.is_resumable, route.max_targets),
            failure,
            targets_tried=len(exchange.targets_tried),
            unsent_attempts=exchange.unsent_attempts,
            time_left=exchange.deadline - self.services.clock(),
            budget=self.services.retry_budget(exchange.service.name),
        )

    def _log_stream_break(self, exchange, ticket, event):
        log_event(
            logger,
            "stream-broken",
            request=exchange.request_id,
            target=ticket.target,
            boot=ticket.boot,
            detail=event.detail,
            begun=exchange.first_byte_at is not None,
            timed_out=exchange.timed_out,
        )

    def _end_connection(self, exchange, ticket, connection):
        if exchange.connection is not connection:
            # Already released; it may be serving another request by now.
            return
        exchange.connection = None
        if connection.is_busy:
            connection.abort("the answer is no longer wanted")
        else:
            self.services.pool.release_connection(ticket.boot, connection)

    def _failure_from_break(self, exchange, detail):
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
            boot=ticket.boot,
            kind=failure.kind,
            detail=failure.detail,
            begun=exchange.first_byte_at is not None,
            left=exchange.deadline - now,
        )

    def _outcome_without_ticket(self, exchange, failure, refused):
        if failure.kind in (*UNSENT, FailureKind.NOT_EXECUTED):
            return refused
        return self._final_outcome(exchange, failure)

    def _final_outcome(self, exchange, failure):
        if failure.kind is FailureKind.FAILED:
            return self._buffered_answer(failure.answer)
        if failure.kind in (*UNSENT, FailureKind.NOT_EXECUTED):
            if exchange.deadline <= self.services.clock():
                return _refused(Reason.DEADLINE_PASSED, failure, RunState.NOT_RUN)
            return _refused(
                Reason.RETRIES_EXHAUSTED, failure, RunState.NOT_RUN, MIN_RETRY_AFTER_S
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


def _adapter_version(exchange, ticket):
    if not exchange.is_model_request or not exchange.metadata.adapter:
        return None
    return split_lora_name(ticket.lora_name)[1] or None


def _part_ids(prompt_parts):
    return ",".join(part.part_id for part in prompt_parts) or None


def _relayed(head, body):
    headers = strip_hop_by_hop(head.headers)
    return Relayed(status=head.status, headers=headers, body=body)


def _continues(first, later):
    """Return whether an answer may go on where the body of another one ended."""
    is_same_type = _content_type(first) == _content_type(later)
    return later.status == first.status and is_same_type


def _content_type(head):
    return dict(head.headers).get("content-type", "").partition(";")[0].lower()


def _stream_break(exchange, event, event_buffer):
    """Return how a stream broke off, or None if it is complete.

    An answer without length or chunks ends with its connection. If that is inside an
    event, or before the first one, the target stopped early.
    """
    if isinstance(event, ResponseBroken):
        return event
    if event_buffer.take_remainder():
        return ResponseBroken("the connection ended inside an event", True)
    if exchange.first_byte_at is None and event.is_by_close:
        return ResponseBroken("the connection ended before an event", False)
    return None


async def _iterate(chunks):
    for chunk in chunks:
        yield chunk
