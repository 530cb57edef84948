"""Client of the list of live instances and targets."""

from skylarkpost.listing.instance_list import (
    InstanceList,
    InstanceListClient,
    InstanceListUnavailable,
    ListedInstance,
)

__all__ = [
    "InstanceList",
    "InstanceListClient",
    "InstanceListUnavailable",
    "ListedInstance",
]
