"""Conversion of directory entries to the targets of stewards and placement."""

from skylarkpost.config import Target

__all__ = ["target_from_entry"]


def target_from_entry(entry, service):
    """Return the target for a directory entry, for stewards and placement.

    Parameters
    ----------
    entry : skylarkpost.discovery.TargetEntry
        The target's announcement.
    service : skylarkpost.routing.TargetService
        The target's service.

    Returns
    -------
    skylarkpost.config.Target
    """
    engine = service.engine
    return Target(
        name=entry.name,
        kind="service" if engine is None else "engine",
        pool=service.name if engine is None else engine.models[0].name,
        address=entry.address,
        data_centre=entry.data_centre,
        fencing=False,
        slots=0 if engine is None else engine.adapter_slots,
        batch_limit=entry.slots if engine is None else min(entry.slots, engine.batch),
    )
