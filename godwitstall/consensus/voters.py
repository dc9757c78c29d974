"""The voters of the fleet, as the log defines them.

A voter is a replica slot together with the id of one disk: a slot whose disk
was replaced is not that voter any more. A change is in force as soon as its
entry is in the log, and is undone when that entry is cut from the log.
"""

import collections.abc

from godwitstall import codec
from godwitstall import errors
from godwitstall import messages

Voters = dict[messages.SlotId, messages.Voter]
Change = messages.AddVoter | messages.RemoveVoter

# The message type is a 16-bit number after the segment table and the root
# pointer of a frame. Comparing it first saves a decode (50 us, measured) for
# each command of another type.
_TYPE = slice(16, 18)
_CHANGE_TYPES = frozenset(
    codec.encode(sample)[_TYPE]
    for sample in (messages.AddVoter(), messages.RemoveVoter())
)


def parse_change(command: bytes) -> Change | None:
    """Return the voter change in command, None for any other command."""
    if command[_TYPE] not in _CHANGE_TYPES:
        return None
    try:
        message = codec.decode(command)
    except errors.LinkError:
        return None
    if isinstance(message, messages.AddVoter | messages.RemoveVoter):
        return message
    return None


def quorum(voters: collections.abc.Sized) -> int:
    """Return how many voters are a majority."""
    return len(voters) // 2 + 1


def _changed(voters: Voters, change: Change) -> Voters:
    result = dict(voters)
    match change:
        case messages.AddVoter(voter):
            result[voter.slot] = voter
        case messages.RemoveVoter(slot, disk_id):
            if slot in result and result[slot].disk_id == disk_id:
                del result[slot]
    return result


class VoterHistory:
    """Voters by log index, from a snapshot onwards."""

    def __init__(self) -> None:
        # Index of a change and the voters from there on, ascending.
        self.changes: list[tuple[int, Voters]] = [(0, {})]

    @property
    def current(self) -> Voters:
        """Voters in force."""
        return self.changes[-1][1]

    @property
    def current_index(self) -> int:
        """Index of the entry that made the current voters."""
        return self.changes[-1][0]

    def reset(
        self, index: int, voters: collections.abc.Iterable[messages.Voter]
    ) -> None:
        """Start again from the voters of a snapshot."""
        self.changes = [(index, {voter.slot: voter for voter in voters})]

    def append(self, entry: messages.Entry) -> None:
        """Take an entry that was added to the log."""
        change = parse_change(entry.command)
        if change is not None and entry.index > self.current_index:
            self.changes.append((entry.index, _changed(self.current, change)))

    def truncate(self, first_cut: int) -> None:
        """Undo the changes at first_cut and after it."""
        while len(self.changes) > 1 and self.current_index >= first_cut:
            self.changes.pop()

    def at(self, index: int) -> tuple[int, Voters]:
        """Return the voters at index and the index of their entry."""
        return next(
            change
            for change in reversed(self.changes)
            if change[0] <= index or change is self.changes[0]
        )
