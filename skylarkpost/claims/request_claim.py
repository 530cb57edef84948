"""One request that may not be repeated, from its claim to its end."""

import enum

from skylarkpost.claims.records import CLAIM, pack_answer
from skylarkpost.claims.table import ClaimVerdict

__all__ = ["RequestClaim", "Stage"]


class Stage(enum.StrEnum):
    """Where a claimant stands."""

    CLAIMING = "claiming"
    WON = "won"
    SENT = "sent"
    LOST = "lost"
    REFUSED = "refused"
    GIVEN_UP = "given-up"
    ENDED = "ended"


class RequestClaim:
    """Decides whether one request may be sent.

    Parameters
    ----------
    claim : str
        Id of this claim, unique among all.
    key : str
        Hash of the key.
    made_at : float
        When the key was made, in wall-clock seconds.
    fingerprint : str
        Hash of the request.
    now : float
        The present time, in seconds.
    window : float
        Seconds after `now` within which the request may be sent.
    life : float
        Seconds after the claim within which the request has ended.

    Notes
    -----
    A claimant sends only after its claim was read back as the first, and only
    in its window. One that gives up never sends, whatever is read later, so
    that "not run" stays true.
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
        """Take in what the claim was read back as.

        Parameters
        ----------
        verdict : ClaimVerdict
            Of this claim.
        """
        if self.stage is Stage.CLAIMING:
            won = verdict is ClaimVerdict.WON
            self.stage = Stage.WON if won else Stage.LOST

    def note_refused(self):
        """Note that the claim certainly is not on the log."""
        assert self.stage is Stage.CLAIMING, "a claim that was read back"
        self.stage = Stage.REFUSED

    def give_up(self):
        """Resolve never to send, unless that has happened already.

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
        """Return whether the request may be sent now, and note that it is.

        Parameters
        ----------
        now : float
            The present time, in seconds, read just before.

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
        """Return the record of how the request ended.

        Parameters
        ----------
        certainly_not_run : bool
            Whether no target can have run it, nor ever will.
        answer : skylarkpost.filters.Answer or None
            The whole answer, if there was one.

        Returns
        -------
        EndRecord or None
            None if there is nothing to tell.
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
