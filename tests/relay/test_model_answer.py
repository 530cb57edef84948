from skylarkpost.outcomes import Reason, Refused, RunState
from tests.relay.relay_rig import EXPECTED, LORA, relay_rig, texts


async def collect(answer, *, after=None, act=None):
    events = []
    async for data in answer.events():
        events.append(data)
        if act is not None and len(events) == after:
            act()
    return events


async def test_the_complete_answer_of_the_right_adapter_is_forwarded():
    async with relay_rig() as rig:
        answer = await rig.answer()
        events = await collect(answer)
        assert answer.refusal is None
        assert texts(events) == EXPECTED
        assert EXPECTED[0] == f"[{LORA}]"
        assert rig.stewardship.released == [("one", True)]
        assert answer.exchange.generated_tokens == len(EXPECTED)


async def test_a_connection_that_goes_silent_is_resumed_without_gap_or_repetition():
    async with relay_rig() as rig:
        engine = rig.standin("one")

        def silence():
            engine.silent_transports |= engine.transports

        answer = await rig.answer()
        events = await collect(answer, after=3, act=silence)
        assert texts(events) == EXPECTED
        assert answer.sequence.attempt == 1
        assert rig.quarantine.crashes == []


async def test_after_a_crash_another_engine_continues_the_same_answer():
    async with relay_rig() as rig:
        answer = await rig.answer()
        events = await collect(answer, after=5, act=rig.standin("one").restart)
        assert answer.refusal is None
        assert texts(events) == EXPECTED
        assert rig.quarantine.crashes == ["one"]
        assert rig.quarantine.running == set()
        assert rig.stewardship.released == [("one", False), ("two", True)]


async def test_crashes_of_all_engines_are_refused_as_may_have_run():
    async with relay_rig() as rig:
        for name in ("one", "two"):
            rig.standin(name).switches.crash_marker = "kilometre"
        answer = await rig.answer()
        assert await collect(answer) == []
        assert answer.refusal.run_state is RunState.UNKNOWN
        assert rig.quarantine.crashes == ["one", "two"]


async def test_a_quarantined_request_is_not_sent_to_another_target():
    async with relay_rig() as rig:
        rig.standin("one").switches.crash_marker = "kilometre"
        rig.quarantine.crashes_to_quarantine = 1
        answer = await rig.answer()
        assert await collect(answer) == []
        assert answer.refusal.reason is Reason.QUARANTINED
        assert answer.refusal.run_state is RunState.UNKNOWN
        assert rig.standin("two").counts == {}


async def test_engines_without_the_adapter_are_avoided_and_the_request_is_not_run():
    async with relay_rig() as rig:
        for name in ("one", "two"):
            rig.standin(name).model.resident.clear()
        answer = await rig.answer()
        assert await collect(answer) == []
        assert answer.refusal.run_state is RunState.NOT_RUN
        assert answer.exchange.dispatched is False
        assert rig.stewardship.released == [("one", True), ("two", True)]


async def test_an_expired_ticket_is_not_used():
    async with relay_rig() as rig:
        answer = await rig.answer()
        rig.stewardship.valid = False
        assert await collect(answer) == []
        assert answer.refusal.run_state is RunState.NOT_RUN
        assert rig.standin("one").counts == {}


async def test_a_withdrawn_key_stops_an_open_stream_and_frees_the_engine():
    refusal = Refused(reason=Reason.KEY_WITHDRAWN, message="withdrawn")
    async with relay_rig() as rig:
        answer = await rig.answer()
        events = await collect(
            answer, after=2, act=lambda: answer.exchange.cancel(refusal)
        )
        assert answer.refusal.reason is Reason.KEY_WITHDRAWN
        assert answer.refusal.run_state is RunState.UNKNOWN
        assert texts(events) == EXPECTED[: len(events)]
        assert len(events) < len(EXPECTED)
        await rig.relay.stop()
        states = {s.state for s in rig.standin("one").model.streams.values()}
        assert states <= {"cancelled"}
