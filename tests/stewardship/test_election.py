from skylarkpost.stewardship.election import (
    ClaimTarget,
    Election,
    Peer,
    ReleaseTarget,
)
from skylarkpost.stewardship.table import StewardshipTable, claim_record
from tests.stewardship.fakes import FakeTarget

LOCAL = [Peer("h-1", "b", "dc-1", False), Peer("h-2", "b", "dc-1", False)]
REMOTE = [Peer("a-1", "b", "dc-2", False), Peer("a-2", "b", "dc-3", False)]


class Simulation:
    def __init__(self, peers, *, target=FakeTarget()):  # noqa: B008
        self.peers = list(peers)
        self.target = target
        self.table = StewardshipTable()
        self.offset = 0
        self.elections = {
            p.instance: Election(own=p, silence=3.0, rank_delay=1.0) for p in peers
        }
        self.decided = []

    def run(self, start, end, *, live=None):
        live = self.peers if live is None else live
        now = start
        while now < end:
            for peer in live:
                election = self.elections[peer.instance]
                for decision in election.decide([self.target], self.table, live, now):
                    self.decided.append((peer.instance, decision))
                    self.append(peer, decision)
            now += 0.1

    def append(self, peer, decision):
        if not isinstance(decision, ClaimTarget):
            return
        record = claim_record(
            target=self.target.name,
            instance=peer.instance,
            boot=peer.boot,
            data_centre=peer.data_centre,
            full_powers=decision.full_powers,
        )
        self.table.apply(record, self.offset, 0.0)
        self.offset += 1

    def holder(self):
        return self.table.full[self.target.name].instance


def test_one_local_instance_claims_and_keeps_the_target():
    simulation = Simulation([*LOCAL, *REMOTE])
    simulation.run(0.0, 30.0)
    assert len(simulation.decided) == 1
    assert simulation.holder() in ("h-1", "h-2")
    simulation.peers.append(Peer("h-3", "b", "dc-1", False))
    simulation.run(30.0, 40.0, live=[*LOCAL, *REMOTE])
    assert len(simulation.decided) == 1


def test_a_silent_steward_is_replaced_by_a_local_instance_first():
    simulation = Simulation([*LOCAL, *REMOTE])
    simulation.run(0.0, 10.0)
    first = simulation.holder()
    rest = [p for p in simulation.peers if p.instance != first]
    simulation.run(10.0, 20.0, live=rest)
    assert simulation.holder() in {"h-1", "h-2"} - {first}
    simulation.run(20.0, 40.0, live=REMOTE)
    assert simulation.holder() in ("a-1", "a-2")
    assert len(simulation.decided) == 3


def test_remote_instances_make_only_limited_claims_on_a_target_without_fencing():
    simulation = Simulation([*LOCAL, *REMOTE], target=FakeTarget(fencing=False))
    simulation.run(0.0, 10.0)
    local_steward = simulation.holder()
    simulation.run(10.0, 30.0, live=REMOTE)
    assert simulation.holder() == local_steward
    limited = simulation.table.limited[simulation.target.name]
    assert limited.instance in ("a-1", "a-2") and not limited.full_powers
    simulation.decided.clear()
    simulation.run(30.0, 31.0)
    released = [d for _, d in simulation.decided if isinstance(d, ReleaseTarget)]
    assert released and released[0].number == limited.number


def test_a_restarted_instance_makes_a_new_claim():
    simulation = Simulation(LOCAL[:1])
    simulation.run(0.0, 5.0)
    simulation.peers = [LOCAL[0]._replace(boot="b2")]
    simulation.elections = {
        "h-1": Election(own=simulation.peers[0], silence=3.0, rank_delay=1.0)
    }
    simulation.run(5.0, 10.0)
    assert simulation.table.full[simulation.target.name].boot == "b2"


def test_a_leaving_instance_claims_nothing():
    simulation = Simulation([LOCAL[0]._replace(leaving=True)])
    simulation.run(0.0, 20.0)
    assert simulation.decided == []
