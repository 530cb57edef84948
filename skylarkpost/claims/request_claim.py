"""State machine of one claimed request, from its claim to its end."""

import enum

from skylarkpost.claims.records import CLAIM, pack_answer
from skylarkpost.claims.table import ClaimVerdict

__all__ = ["RequestClaim", "Stage"]


class Stage(enum.StrEnum):
    """Stage of a request claim."""

    CLAIMING = "claiming"
    WON = "won"
    SENT = "sent"
    LOST = "lost"
    REFUSED = "refused"
    GIVEN_UP = "given-up"
    ENDED = "ended"


class RequestClaim:
    """The claim of one request on its key; decides whether it may be sent.

    Parameters
    ----------
    claim : str
        Globally unique id of this claim.
    key : str
        Hash of the key.
    made_at : float
        Creation time of the key, in wall-clock seconds.
    fingerprint : str
        Hash of the request.
    now : float
        The present time, in seconds.
    window : float
        Seconds after `now` within which the request may be sent.
    life : float
        Seconds after the claim by which the request has ended.

    Notes
    -----
    A request is sent only after its claim was read back as the first on the key,
    and only within its window. After `give_up` it is never sent, even if the claim
    is read back later, so a reported "not run" stays true.
    """

    def __init__(self, *, claim, key, made_at, fingerprint, now, window, life):
        self.claim = claim
        self.key = key
        self.made_at = made_at
        self.fingerprint = fingerprint
        self.send_by = now + window
        self.life = life
        self.stage = Stage.CLAIMING

    def claim_record(self):
        """Return the record that claims the key.

        Returns
        -------
        ClaimRecord
        """
        return {
            "type": CLAIM,
            "key": self.key,
            "claim": self.claim,
            "made_at": self.made_at,
            "fingerprint": self.fingerprint,
            "life": self.life,
        }

    def apply_verdict(self, verdict):
        """Apply the verdict with which the claim was read back.

        Parameters
        ----------
        verdict : ClaimVerdict
            Verdict on this claim.
        """
        if self.stage is Stage.CLAIMING:
            won = verdict is ClaimVerdict.WON
            self.stage = Stage.WON if won else Stage.LOST

    def note_refused(self):
        """Record that the claim is certainly not on the log."""
        assert self.stage is Stage.CLAIMING, "refused after the claim was read back"
        self.stage = Stage.REFUSED

    def give_up(self):
        """Rule out sending the request, unless it was already sent.

        Returns
        -------
        bool
            False if the request may have been sent.
        """
        if self.stage in (Stage.SENT, Stage.ENDED):
            return False
        if self.stage in (Stage.CLAIMING, Stage.WON):
            self.stage = Stage.GIVEN_UP
        return True

    def begin_sending(self, now):
        """Return whether the request may be sent now, and record that it is.

        Parameters
        ----------
        now : float
            Current time, in seconds; must be read just before the call.

        Returns
        -------
        bool
            True at most once.
        """
        if self.stage is not Stage.WON:
            return False
        if now > self.send_by:
            self.stage = Stage.GIVEN_UP
            return False
        self.stage = Stage.SENT
        return True

    def end(self, *, certainly_not_run, answer):
        """End the claim, and return the record of how the request ended.

        Parameters
        ----------
        certainly_not_run : bool
            Whether no target has run or can still run it.
        answer : skylarkpost.filters.Answer or None
            The complete answer, if any.

        Returns
        -------
        EndRecord or None
            None if nothing has to be recorded.
        """
        if self.stage in (Stage.LOST, Stage.REFUSED, Stage.ENDED):
            return None
        was_sent = self.stage is Stage.SENT
        self.stage = Stage.ENDED
        if answer is not None:
            assert was_sent, "an answer to a request that was not sent"
            return self._record("claim-answered") | pack_answer(answer)
        if was_sent and not certainly_not_run:
            return self._record("claim-unknown")
        return self._record("claim-released")

    def _record(self, record_type):
        return {"type": record_type, "key": self.key, "claim": self.claim}
