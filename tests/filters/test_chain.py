from skylarkpost.filters import Exchange, FilterChain
from skylarkpost.outcomes import Reason, Refused


class Step:
    def __init__(self, name, outcome=None, cancel=None):
        self.name = name
        self.outcome = outcome
        self.cancel = cancel
        self.seen = 0

    async def apply(self, exchange):
        self.seen += 1
        if self.cancel:
            exchange.cancel(self.cancel)
        return self.outcome


def make_exchange():
    return Exchange(
        request_id="r1",
        method="POST",
        path="/",
        query="",
        headers={},
        body=b"",
        key_hash=None,
        received_at=0.0,
        deadline=10.0,
    )


NO = Refused(reason=Reason.KEY_UNKNOWN, message="no")


async def test_the_first_outcome_ends_the_chain_and_is_noted():
    last = Step("last")
    chain = FilterChain(filters=[Step("a"), Step("b", NO), last], clock=lambda: 1.0)
    exchange = make_exchange()
    assert await chain.run(exchange) is NO
    assert last.seen == 0
    assert [d.decision for d in exchange.decisions] == ["passed", "refused:key-unknown"]


async def test_a_cancelled_request_does_not_reach_the_next_filter():
    last = Step("last")
    chain = FilterChain(filters=[Step("a", cancel=NO), last], clock=lambda: 1.0)
    assert await chain.run(make_exchange()) is NO
    assert last.seen == 0


async def test_a_chain_without_an_outcome_refuses_as_not_run():
    chain = FilterChain(filters=[Step("a")], clock=lambda: 1.0)
    outcome = await chain.run(make_exchange())
    assert (outcome.reason, outcome.run_state) == (Reason.NO_TARGET, "not-run")


async def test_finish_callbacks_run_once_in_reverse_order():
    ran = []
    exchange = make_exchange()

    async def first(_):
        ran.append("first")

    async def second(_):
        ran.append("second")

    exchange.on_finish(first)
    exchange.on_finish(second)
    await exchange.finish()
    await exchange.finish()
    assert ran == ["second", "first"]
