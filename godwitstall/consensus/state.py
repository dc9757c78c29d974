"""State of one replica that the classes of this package share.

State holds the settings, the term, the log, the voters and the peers. The
other classes read and change it; none of them is known here.
"""

import collections.abc
import enum
import pathlib

from godwitstall.consensus import log as log_module
from godwitstall.consensus import peer as peers
from godwitstall.consensus import storage
from godwitstall.consensus import voters
from godwitstall import errors
from godwitstall import link as links
from godwitstall import logs
from godwitstall import messages
from godwitstall import settings

_LOG = logs.get('consensus')


class Role(enum.Enum):
    """Role of a replica in the current term."""

    FOLLOWER = 'follower'
    LEADER = 'leader'


class State:
    """Settings, term, log, voters and peers of one replica."""

    def __init__(
        self,
        options: settings.ControlOptions,
        fleet: settings.FleetOptions,
        identity: links.Identity,
    ) -> None:
        self.options = options
        self.fleet = fleet
        self.identity = identity
        self.slot = options.slot
        self.folder = pathlib.Path(options.data_folder)
        # Identity of the disk; read when the replica starts.
        self.disk = storage.DiskIdentity(
            fleet.name, self.slot, messages.DiskId(''), False
        )
        # Highest term seen, and the candidate voted for in this term.
        self.term = 0
        self.voted_for = ''
        self.role = Role.FOLLOWER
        # Slot of the leader of this term, None if unknown.
        self.leader_slot: messages.SlotId | None = None
        # Called after this replica has ceased to be leader.
        self.on_step_down: collections.abc.Callable[[], None] = lambda: None
        # Highest entry known to be committed, and highest entry applied.
        self.commit_index = 0
        self.applied_index = 0
        self.log = log_module.Log(storage.LogFiles(self.folder))
        self.voters = voters.VoterHistory()
        self.peers: dict[messages.SlotId, peers.Peer] = {}
        # Index of this leader's first entry, and time when its term began.
        self.term_start_index = 0
        self.leader_since = 0.0
        # During a leadership transfer the leader rejects proposals and has
        # no lease.
        self.is_transferring_leadership = False

    def open(self) -> tuple[messages.SnapshotFile, bytes | memoryview]:
        """Read the disk (blocking); return the newest snapshot.

        Its header is empty if there is none.

        Errors: StorageError when the disk is corrupt or of another fleet.
        """
        self.disk = storage.read_identity(
            self.folder, self.fleet.name, self.slot
        )
        # A process that was killed may have renamed files without a sync of
        # the folder, and what is read now counts as durable.
        storage.sync_folder(self.folder)
        vote = storage.read_vote(self.folder)
        self.term, self.voted_for = vote.term, vote.voted_for
        storage.delete_temp_files(self.folder)
        data = storage.read_snapshot(self.folder)
        header = messages.SnapshotFile()
        content: bytes | memoryview = b''
        if data is not None:
            header, content = storage.unpack_snapshot(
                data, f'The newest snapshot in {self.folder}'
            )
        self.log.open(header)
        if self.log.last_term > self.term:
            raise errors.StorageError(
                f'The file vote in {self.folder} is of term {self.term}, the '
                f'log of term {self.log.last_term}. '
                f'{storage.REPLACE_DISK_HINT}'
            )
        return header, content

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it leads the current term."""
        return self.role is Role.LEADER

    def is_voter(
        self, slot: messages.SlotId, disk_id: messages.DiskId
    ) -> bool:
        """Return whether this disk is a voter."""
        voter = self.voters.current.get(slot)
        return voter is not None and voter.disk_id == disk_id

    def is_new_fleet(self) -> bool:
        """Return whether the disk is initial and has never had voters."""
        return (
            self.disk.is_initial
            and not self.voters.current
            and self.log.last_index == 0
        )

    def observe_term(self, term: int) -> None:
        """Enter a higher term as a follower that has not voted in it."""
        if term > self.term:
            self.term = term
            self.voted_for = ''
            self.leader_slot = None
            self.step_down()

    def step_down(self) -> None:
        """Become a follower if this replica leads."""
        if not self.is_leader:
            return
        _LOG.info('No longer leads in term %d.', self.term)
        self.role = Role.FOLLOWER
        if self.leader_slot == self.slot:
            self.leader_slot = None
        self.on_step_down()

    def wake_peers(self) -> None:
        """Send what is new to all peers."""
        for peer in self.peers.values():
            peer.wake.set()
