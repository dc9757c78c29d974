"""Voters of the fleet, as defined by the log.

A voter is a replica slot with the id of its disk: a slot whose disk was
replaced is no longer that voter. A change takes effect as soon as its entry
is in the log, and is reverted when the entry is truncated.
"""

import collections.abc
import typing

from godwitstall import codec
from godwitstall import errors
from godwitstall import messages

Voters = dict[messages.SlotId, messages.Voter]
VoterChange = messages.AddVoter | messages.RemoveVoter

# The message type is a 16-bit number after the segment table and the root
# pointer of a frame. Comparing it first avoids decoding every command of
# another type, which takes 50 us.
_MESSAGE_TYPE = slice(16, 18)
_CHANGE_TYPES = frozenset(
    codec.encode(sample)[_MESSAGE_TYPE]
    for sample in (messages.AddVoter(), messages.RemoveVoter())
)


def parse_change(command: bytes) -> VoterChange | None:
    """Return the voter change, None if command is of another type."""
    if command[_MESSAGE_TYPE] not in _CHANGE_TYPES:
        return None
    try:
        message = codec.decode(command)
    except errors.LinkError:
        return None
    if isinstance(message, messages.AddVoter | messages.RemoveVoter):
        return message
    return None


def quorum(voters: collections.abc.Sized) -> int:
    """Return the number of voters that form a majority."""
    return len(voters) // 2 + 1


_Number = typing.TypeVar('_Number', int, float)


def majority_value(values: collections.abc.Iterable[_Number]) -> _Number:
    """Return the highest number that a majority of the voters has reached.

    There is one value for each voter.
    """
    descending = sorted(values, reverse=True)
    return descending[quorum(descending) - 1]


def _apply_change(voters: Voters, change: VoterChange) -> Voters:
    result = dict(voters)
    match change:
        case messages.AddVoter(voter):
            result[voter.slot] = voter
        case messages.RemoveVoter(slot, disk_id):
            if slot in result and result[slot].disk_id == disk_id:
                del result[slot]
    return result


class VoterHistory:
    """Versions of the voters by log index, from a snapshot onwards."""

    def __init__(self) -> None:
        # Index of each change and the voters from there on, ascending.
        self.versions: list[tuple[int, Voters]] = [(0, {})]

    @property
    def current(self) -> Voters:
        """Voters in effect."""
        return self.versions[-1][1]

    @property
    def current_index(self) -> int:
        """Index of the entry that defined the current voters."""
        return self.versions[-1][0]

    def reset(
        self, index: int, voters: collections.abc.Iterable[messages.Voter]
    ) -> None:
        """Replace the history with the voters of a snapshot."""
        self.versions = [(index, {voter.slot: voter for voter in voters})]

    def append(self, entry: messages.Entry) -> None:
        """Process an entry that was added to the log."""
        change = parse_change(entry.command)
        if change is not None and entry.index > self.current_index:
            self.versions.append(
                (entry.index, _apply_change(self.current, change))
            )

    def truncate(self, from_index: int) -> None:
        """Revert the changes from from_index on."""
        while len(self.versions) > 1 and self.current_index >= from_index:
            self.versions.pop()

    def at(self, index: int) -> tuple[int, Voters]:
        """Return the index of the last change up to index, and the voters."""
        return next(
            version
            for version in reversed(self.versions)
            if version[0] <= index or version is self.versions[0]
        )
