from skylarkpost.stewardship.election import (
    ClaimTarget,
    Election,
    Peer,
    ReleaseTarget,
)
from skylarkpost.stewardship.table import StewardshipTable, claim_record
from tests.stewardship.fakes import FakeTarget

HOME = [Peer("h-1", "b", "dc-1", False), Peer("h-2", "b", "dc-1", False)]
AWAY = [Peer("a-1", "b", "dc-2", False), Peer("a-2", "b", "dc-3", False)]


class Fleet:
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


def test_one_instance_of_the_same_data_centre_claims_and_stays():
    fleet = Fleet([*HOME, *AWAY])
    fleet.run(0.0, 30.0)
    assert len(fleet.decided) == 1
    assert fleet.holder() in ("h-1", "h-2")
    fleet.peers.append(Peer("h-3", "b", "dc-1", False))
    fleet.run(30.0, 40.0, live=[*HOME, *AWAY])
    assert len(fleet.decided) == 1


def test_a_silent_steward_is_replaced_from_its_data_centre_first():
    fleet = Fleet([*HOME, *AWAY])
    fleet.run(0.0, 10.0)
    first = fleet.holder()
    rest = [p for p in fleet.peers if p.instance != first]
    fleet.run(10.0, 20.0, live=rest)
    assert fleet.holder() in {"h-1", "h-2"} - {first}
    fleet.run(20.0, 40.0, live=AWAY)
    assert fleet.holder() in ("a-1", "a-2")
    assert len(fleet.decided) == 3


def test_outside_the_data_centre_only_a_limited_claim_where_fencing_is_ignored():
    fleet = Fleet([*HOME, *AWAY], target=FakeTarget(fencing=False))
    fleet.run(0.0, 10.0)
    home = fleet.holder()
    fleet.run(10.0, 30.0, live=AWAY)
    assert fleet.holder() == home
    limited = fleet.table.limited[fleet.target.name]
    assert limited.instance in ("a-1", "a-2") and not limited.full_powers
    fleet.decided.clear()
    fleet.run(30.0, 31.0)
    released = [d for _, d in fleet.decided if isinstance(d, ReleaseTarget)]
    assert released and released[0].number == limited.number


def test_a_restarted_instance_claims_anew():
    fleet = Fleet(HOME[:1])
    fleet.run(0.0, 5.0)
    fleet.peers = [HOME[0]._replace(boot="b2")]
    fleet.elections = {"h-1": Election(own=fleet.peers[0], silence=3.0, rank_delay=1.0)}
    fleet.run(5.0, 10.0)
    assert fleet.table.full[fleet.target.name].boot == "b2"


def test_a_leaving_instance_claims_nothing():
    fleet = Fleet([HOME[0]._replace(leaving=True)])
    fleet.run(0.0, 20.0)
    assert fleet.decided == []
