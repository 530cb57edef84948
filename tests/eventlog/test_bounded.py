import logging
import os

from skylarkpost.eventlog import BoundedHandler, LineRateLimiter


def record(number, level=logging.INFO, created=0.0):
    values = {"msg": f"event=e n={number}", "levelno": level, "created": created}
    return logging.makeLogRecord(values)


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    found = b""
    while True:
        try:
            piece = os.read(descriptor, 65536)
        except BlockingIOError:
            return found.decode()
        if not piece:
            return found.decode()
        found += piece


def test_lines_beyond_the_rate_limit_are_counted_and_reported():
    reader, writer = os.pipe()
    handler = BoundedHandler(
        descriptor=writer, rate_limiter=LineRateLimiter(rate=10.0, burst=5.0)
    )
    for number in range(100):
        handler.emit(record(number))
    handler.emit(record("warned", logging.WARNING))
    handler.emit(record("later", created=1.0))
    lines = read_all(reader).splitlines()
    assert lines[:5] == [f"event=e n={number}" for number in range(5)]
    assert lines[5:] == [
        "event=lines-dropped count=95",
        "event=e n=warned",
        "event=e n=later",
    ]


def test_a_stalled_reader_does_not_block_and_no_line_is_split():
    reader, writer = os.pipe()
    handler = BoundedHandler(
        descriptor=writer, rate_limiter=LineRateLimiter(rate=1e6, burst=1e6)
    )
    for number in range(20_000):
        handler.emit(record(number))
    assert handler.dropped
    first = read_all(reader)
    handler.emit(record("last"))
    lines = (first + read_all(reader)).splitlines()
    assert lines[-1] == "event=e n=last"
    assert all(line.startswith("event=") for line in lines)
    notices = [line for line in lines if "lines-dropped" in line]
    written = len(lines) - len(notices)
    assert written + sum(int(line.rpartition("=")[2]) for line in notices) == 20_001


def test_a_closed_pipe_drops_the_line_without_an_error():
    reader, writer = os.pipe()
    os.close(reader)
    handler = BoundedHandler(descriptor=writer)
    handler.emit(record(1))
    assert handler.dropped == 1


def test_a_clock_stepping_back_grants_no_extra_lines():
    rate_limiter = LineRateLimiter(rate=1.0, burst=1.0)
    assert rate_limiter.try_acquire(now=10.0)
    assert not rate_limiter.try_acquire(now=5.0)
    assert rate_limiter.try_acquire(now=6.0)
