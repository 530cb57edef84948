"""Conversion of directory entries to the targets of stewards and placement."""

from typing import NamedTuple

from skylarkpost.config import Target

__all__ = ["TargetCatalogue", "target_from_entry"]


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


class ServiceTargets(NamedTuple):
    """The usable targets of one service.

    Attributes
    ----------
    entries : tuple of skylarkpost.discovery.TargetEntry
        Their announcements.
    service : skylarkpost.routing.TargetService
        The service.
    targets : list of skylarkpost.config.Target
        Those that serve the service's base model.
    by_name : dict of str to skylarkpost.config.Target
        The same targets, by name.
    names_by_boot : dict of str to str
        Their names, by boot.
    """

    entries: tuple
    service: object
    targets: list
    by_name: dict
    names_by_boot: dict


class TargetCatalogue:
    """Targets of each service, converted once for each change of the directory.

    Load pattern: hundreds of targets, and many requests between two changes of
    their announcements.

    Parameters
    ----------
    directory : skylarkpost.gateway.directory.DirectoryController
        The announced targets.
    """

    def __init__(self, *, directory):
        self.directory = directory
        self.cached = {}

    def of_service(self, service, now):
        """Return the usable targets of a service.

        Parameters
        ----------
        service : skylarkpost.routing.TargetService
            The service.
        now : float
            The present time, in seconds.

        Returns
        -------
        ServiceTargets
        """
        entries = self.directory.of_service(service.name, now)
        known = self.cached.get(service.name)
        if known is None or known.entries is not entries or known.service != service:
            known = self.cached[service.name] = _convert(entries, service)
        return known


def _convert(entries, service):
    serving = [entry for entry in entries if _serves(entry, service)]
    targets = [target_from_entry(entry, service) for entry in serving]
    return ServiceTargets(
        entries,
        service,
        targets,
        {target.name: target for target in targets},
        {entry.boot: entry.name for entry in serving},
    )


def _serves(entry, service):
    if service.engine is None:
        return True
    model = service.engine.models[0].name
    return any(held.name == model for held in entry.models)
