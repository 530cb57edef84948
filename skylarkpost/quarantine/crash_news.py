"""What instances tell each other about crashes of targets, and what the store keeps."""

import msgspec

from skylarkpost.decoding import Malformed, decode_json

__all__ = ["CrashNews", "SeenCrash", "StoredCrashes", "decode", "encode"]


class SeenCrash(msgspec.Struct, array_like=True, frozen=True):
    """A crash as one instance saw it.

    Attributes
    ----------
    crash_id : str
        Boot of the target that crashed.
    age : float
        Seconds since the crash.
    sent_ages : dict of str to float
        Seconds since the latest request was sent that had not begun, or for a trait of
        answers that had begun, had not ended.
    """

    crash_id: str
    age: float
    sent_ages: dict[str, float]


class CrashNews(msgspec.Struct, frozen=True):
    """Digest of one instance.

    Attributes
    ----------
    crashes : list of SeenCrash
        Crashes that it saw itself.
    answers : dict of str to float
        Seconds since an answer last cleared a trait there.
    """

    crashes: list[SeenCrash] = []
    answers: dict[str, float] = {}


class StoredCrashes(msgspec.Struct, frozen=True):
    """Record in the store on one quarantined trait.

    Attributes
    ----------
    crashes : dict of str to tuple of (float, float)
        Time of the crash and of sending the request, in seconds since the Unix
        epoch, by id of the crash.
    """

    crashes: dict[str, tuple[float, float]]


def encode(message):
    """Encode a digest or a record.

    Parameters
    ----------
    message : CrashNews or StoredCrashes
        The message.

    Returns
    -------
    bytes
    """
    return msgspec.json.encode(message)


def decode(payload, kind):
    """Decode a digest or a record.

    Parameters
    ----------
    payload : bytes
        The encoded message.
    kind : type
        `CrashNews` or `StoredCrashes`.

    Returns
    -------
    CrashNews, StoredCrashes or None
        None if it is malformed.
    """
    decoded = decode_json(payload, kind)
    return None if isinstance(decoded, Malformed) else decoded
