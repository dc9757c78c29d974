"""Messages with which control processes find each other.

Example: Directory()
"""

import dataclasses

from godwitstall.schema import consensus


@dataclasses.dataclass(slots=True)
class Introduce:
    """Requests the list of replicas; a replica also announces itself."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # The sending replica; its slot is empty when a node sends this.
    replica: consensus.Voter = dataclasses.field(
        default_factory=consensus.Voter
    )
    # Whether the replica's disk is empty and formatted for a new fleet.
    is_initial: bool = False


@dataclasses.dataclass(slots=True)
class Directory:
    """Reply to Introduce."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Replicas that vote or are connected, including the sender.
    replicas: list[consensus.Voter] = dataclasses.field(default_factory=list)
    # Whether the sender knows voters, so that the fleet already exists.
    is_formed: bool = False
