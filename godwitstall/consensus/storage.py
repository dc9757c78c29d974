"""Files of one replica; all functions here block.

disk.json     identity of the disk, written once by format_disk()
vote          term and vote, replaced as a whole
wal-N.log     log segments; N is the index of the first record
snapshot-N.bin  state after entry N

Every small file and snapshot is written to a temporary file, synced and
renamed, and the folder is synced after that.

A record of the log has a header (CRC-32 of all that follows, length of the
command, index of the first record written before the same sync, term,
index, wall time) and the command. A write that was cut by a crash leaves bad
records in the last synced group only. A bad record with a good record of a
later group behind it had been synced, so it is corruption and is not cut.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import secrets
import struct
import typing
import zlib

from godwitstall import codec
from godwitstall import errors
from godwitstall import logs
from godwitstall import messages

_LOG = logs.get('consensus')

_DISK = 'disk.json'
_VOTE = 'vote'
_FORMAT = 1
_RECORD = struct.Struct('>IIQQQQ')
_CRC_BYTES = 4
_SNAPSHOT = struct.Struct('>II')

# A length above this is taken for corruption; a frame of a link, which every
# command came through, is smaller.
_MAX_COMMAND_BYTES = codec.MAX_FRAME_BYTES

# What an operator does about a corrupt disk, said in every error.
REPLACE_TEXT = (
    'Empty the data folder, format it with "godwitstall-control --format" '
    'without --initial, and start again: the replica then copies the state '
    'from the others and gets its vote back after that.'
)


@dataclasses.dataclass(frozen=True, slots=True)
class DiskIdentity:
    """Content of disk.json."""

    # Name of the fleet that the disk belongs to.
    fleet_name: str
    # Replica slot from the settings.
    slot: messages.SlotId
    # Random id; a disk formatted again is another disk.
    disk_id: messages.DiskId
    # The disk was formatted when the fleet was created.
    is_initial: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """Content of the file vote."""

    # Highest term seen.
    term: int = 0
    # 'slot/disk id' of the candidate that got the vote of this term.
    voted_for: str = ''


async def run_blocking(
    action: collections.abc.Callable[..., None], *arguments: typing.Any
) -> None:
    """Run a file operation in a thread.

    A cancelled caller still waits for the thread, so that the files can be
    opened again after it.
    """
    thread = asyncio.ensure_future(asyncio.to_thread(action, *arguments))
    try:
        await asyncio.shield(thread)
    except asyncio.CancelledError:
        with contextlib.suppress(OSError):
            await thread
        raise


def sync_folder(folder: pathlib.Path) -> None:
    """Make created, renamed and deleted names in folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _temporary_path(path: pathlib.Path) -> pathlib.Path:
    # The random part keeps two writers of one name apart.
    return path.with_name(f'{path.name}.{secrets.token_hex(4)}.tmp')


def _replace_file(path: pathlib.Path, data: bytes | bytearray) -> None:
    temporary = _temporary_path(path)
    with temporary.open('wb') as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(path)
    sync_folder(path.parent)


def format_disk(
    folder: pathlib.Path,
    fleet_name: str,
    slot: messages.SlotId,
    is_initial: bool,
) -> None:
    """Prepare an empty data folder; is_initial only at the fleet's creation.

    Errors: StorageError when the folder holds anything.
    """
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise errors.StorageError(
            f'{folder} is not empty. Only an empty folder can be formatted; '
            'move its files away if the disk is to be replaced.'
        )
    write_vote(folder, Vote())
    _replace_file(segment_path(folder, 1), b'')
    identity = {
        'format': _FORMAT,
        'fleet': fleet_name,
        'slot': slot,
        'disk_id': secrets.token_hex(16),
        'is_initial': is_initial,
    }
    _replace_file(folder / _DISK, json.dumps(identity, indent=1).encode())


def format_if_empty(
    folder: pathlib.Path,
    fleet_name: str,
    slot: messages.SlotId,
    is_initial: bool,
) -> None:
    """Format a data folder that holds no identity yet.

    The identity is written last, so files without it are left over from a
    formatting that a crash cut off, and nothing was ever stored in them.
    """
    if (folder / _DISK).exists():
        return
    folder.mkdir(parents=True, exist_ok=True)
    for path in folder.iterdir():
        _LOG.warning('Deletes %s of an unfinished formatting.', path.name)
        path.unlink()
    _LOG.info('Formats %s, initial: %s.', folder, is_initial)
    format_disk(folder, fleet_name, slot, is_initial)


def read_identity(
    folder: pathlib.Path, fleet_name: str, slot: messages.SlotId
) -> DiskIdentity:
    """Return the identity of a disk of this fleet and slot.

    Errors: StorageError for a disk that is not formatted, is corrupt or
    belongs elsewhere.
    """
    path = folder / _DISK
    try:
        content = json.loads(path.read_bytes())
        if content['format'] != _FORMAT:
            raise errors.StorageError(
                f'{path} has format {content["format"]}, this program knows '
                f'{_FORMAT}. Start the program that wrote it.'
            )
        identity = DiskIdentity(
            content['fleet'],
            content['slot'],
            content['disk_id'],
            content['is_initial'],
        )
    except FileNotFoundError as e:
        raise errors.StorageError(
            f'{folder} is not formatted. Run "godwitstall-control --format" '
            'for it, with --initial only when the fleet is created.'
        ) from e
    except (OSError, ValueError, KeyError, TypeError) as e:
        raise errors.StorageError(
            f'{path} is unreadable ({e}). {REPLACE_TEXT}'
        ) from e
    for what, found, wanted in (
        ('fleet', identity.fleet_name, fleet_name),
        ('slot', identity.slot, slot),
    ):
        if found != wanted:
            raise errors.StorageError(
                f'{folder} is a disk of {what} {found!r}, the settings say '
                f'{wanted!r}. Attach the right disk or correct the settings.'
            )
    return identity


def write_vote(folder: pathlib.Path, vote: Vote) -> None:
    """Make term and vote durable."""
    body = f'{vote.term} {vote.voted_for}'.encode()
    _replace_file(folder / _VOTE, b'%08x %s' % (zlib.crc32(body), body))


def read_vote(folder: pathlib.Path) -> Vote:
    """Return term and vote.

    Errors: StorageError when the file is lost or corrupt; starting without
    it could give a second vote in one term.
    """
    path = folder / _VOTE
    try:
        crc, _, body = path.read_bytes().partition(b' ')
        if int(crc, 16) != zlib.crc32(body):
            raise ValueError('wrong checksum')
        term, _, voted_for = body.decode().partition(' ')
        return Vote(int(term), voted_for)
    except (OSError, ValueError) as e:
        raise errors.StorageError(
            f'{path} is unreadable ({e}). {REPLACE_TEXT}'
        ) from e


def pack_snapshot(header: messages.SnapshotFile, state: bytes) -> bytes:
    """Return the bytes of a snapshot file; header.state stays empty.

    The state follows the header as it is, because the codec bounds the size
    of one message.
    """
    head = codec.encode(header)
    body = len(head).to_bytes(4, 'big') + head + state
    return zlib.crc32(body).to_bytes(_CRC_BYTES, 'big') + body


def unpack_snapshot(
    data: bytes | bytearray, name: str
) -> tuple[messages.SnapshotFile, memoryview]:
    """Return header and state of a snapshot file; the state is not copied.

    Errors: StorageError when the bytes are corrupt; name is for its text.
    """
    if len(data) >= _SNAPSHOT.size:
        crc, length = _SNAPSHOT.unpack_from(data)
        end = _SNAPSHOT.size + length
        view = memoryview(data)
        if crc == zlib.crc32(view[_CRC_BYTES:]):
            header = codec.decode(bytes(view[_SNAPSHOT.size : end]))
            if isinstance(header, messages.SnapshotFile):
                return header, view[end:]
    raise errors.StorageError(f'{name} is corrupt. {REPLACE_TEXT}')


class SnapshotWriter:
    """Writes a snapshot file part by part; a crash leaves no snapshot.

    Example:
        writer = SnapshotWriter(folder, header)
        writer.write([b'first'])
        writer.commit()
    """

    def __init__(
        self, folder: pathlib.Path, header: messages.SnapshotFile
    ) -> None:
        self.folder = folder
        self.path = _snapshot_path(folder, header.last_index)
        self.temporary = _temporary_path(self.path)
        # Bytes written.
        self.size = 0
        self._crc = 0
        self._file = self.temporary.open('wb')
        self._file.write(bytes(_CRC_BYTES))
        head = codec.encode(header)
        try:
            self.write([len(head).to_bytes(4, 'big'), head])
        except OSError:
            self.close()
            raise

    def write(self, parts: list[bytes]) -> None:
        """Add parts of the state."""
        for part in parts:
            self._crc = zlib.crc32(part, self._crc)
            self._file.write(part)
            self.size += len(part)

    def commit(self) -> None:
        """Make the snapshot durable and delete older ones."""
        self._file.seek(0)
        self._file.write(self._crc.to_bytes(_CRC_BYTES, 'big'))
        self._file.flush()
        os.fsync(self._file.fileno())
        self._file.close()
        self.temporary.rename(self.path)
        sync_folder(self.folder)
        _delete_older(self.folder, self.path)

    def close(self) -> None:
        """Delete the file unless it is committed."""
        self._file.close()
        self.temporary.unlink(missing_ok=True)


def _snapshot_path(folder: pathlib.Path, index: int) -> pathlib.Path:
    return folder / f'snapshot-{index:020d}.bin'


def write_snapshot(
    folder: pathlib.Path, index: int, data: bytes | bytearray
) -> None:
    """Make a snapshot durable and delete older ones."""
    path = _snapshot_path(folder, index)
    _replace_file(path, data)
    _delete_older(folder, path)


def _delete_older(folder: pathlib.Path, path: pathlib.Path) -> None:
    for other in folder.glob('snapshot-*.bin'):
        if other.name < path.name:
            other.unlink()


def delete_unfinished(folder: pathlib.Path) -> None:
    """Delete temporary files that a crash left; called at start."""
    for temporary in folder.glob('*.tmp'):
        temporary.unlink()


def read_snapshot(folder: pathlib.Path) -> bytes | None:
    """Return the newest snapshot file, None when there is none."""
    while True:
        paths = sorted(folder.glob('snapshot-*.bin'))
        if not paths:
            return None
        # A newer snapshot may replace it between the two calls.
        with contextlib.suppress(FileNotFoundError):
            return paths[-1].read_bytes()


def pack_record(entry: messages.Entry, group: int) -> bytes:
    """Return the record of one entry; group is the group's first index."""
    body = _RECORD.pack(
        0,
        len(entry.command),
        group,
        entry.term,
        entry.index,
        entry.time_ms,
    )[_CRC_BYTES:]
    crc = zlib.crc32(entry.command, zlib.crc32(body))
    return crc.to_bytes(_CRC_BYTES, 'big') + body + entry.command


def _parse_record(
    data: bytes, start: int, low: int, high: int
) -> tuple[messages.Entry, int, int] | None:
    """Return entry, group and end of a good record, low <= index < high."""
    if len(data) - start < _RECORD.size:
        return None
    crc, length, group, term, index, time_ms = _RECORD.unpack_from(data, start)
    body = start + _RECORD.size
    end = body + length
    if not low <= index < high or length > _MAX_COMMAND_BYTES:
        return None
    if end > len(data) or crc != zlib.crc32(data[start + _CRC_BYTES : end]):
        return None
    return messages.Entry(index, term, time_ms, data[body:end]), group, end


def segment_path(folder: pathlib.Path, first_index: int) -> pathlib.Path:
    """Return the path of the segment that starts with this entry."""
    return folder / f'wal-{first_index:020d}.log'


class _Segment:
    """One log file."""

    def __init__(self, path: pathlib.Path, first_index: int) -> None:
        self.path = path
        # Index of the first record.
        self.first_index = first_index
        # Byte offset of each record.
        self.offsets: list[int] = []
        # Bytes written.
        self.size = 0

    def read(self, is_last: bool) -> list[messages.Entry]:
        """Return all entries; a torn tail of the last segment is cut."""
        data = self.path.read_bytes()
        entries: list[messages.Entry] = []
        while self.size < len(data):
            index = self.first_index + len(entries)
            found = _parse_record(data, self.size, index, index + 1)
            if found is None:
                if not is_last or _was_synced(data, self.size, index):
                    raise errors.StorageError(
                        f'{self.path} is corrupt at byte {self.size}, '
                        f'before the end of the log. {REPLACE_TEXT}'
                    )
                self._cut(len(data))
                break
            self.offsets.append(self.size)
            entries.append(found[0])
            self.size = found[2]
        return entries

    def _cut(self, file_size: int) -> None:
        _LOG.warning(
            'Cut %d bytes of an unfinished write from %s at byte %d.',
            file_size - self.size,
            self.path.name,
            self.size,
        )
        os.truncate(self.path, self.size)
        with self.path.open('rb') as file:
            os.fsync(file.fileno())


def _was_synced(data: bytes, start: int, index: int) -> bool:
    """Return whether a good record of a later group follows start."""
    # The bound on the index skips the checksum for nearly all offsets.
    for offset in range(start + 1, len(data) - _RECORD.size + 1):
        found = _parse_record(data, offset, index, index + len(data))
        if found is not None and found[1] > index:
            return True
    return False


class LogFiles:
    """The segments of the log; used by one thread at a time."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.segments: list[_Segment] = []
        self.descriptor = -1

    def open(self) -> list[messages.Entry]:
        """Read all entries, which follow each other without a gap.

        Errors: StorageError for corruption that no crash explains.
        """
        paths = sorted(self.folder.glob('wal-*.log'))
        if not paths:
            raise errors.StorageError(
                f'{self.folder} has no log file. {REPLACE_TEXT}'
            )
        entries: list[messages.Entry] = []
        for path in paths:
            segment = _Segment(path, int(path.stem.partition('-')[2]))
            if entries and segment.first_index != entries[-1].index + 1:
                raise errors.StorageError(
                    f'{path} does not follow entry {entries[-1].index}: '
                    f'a file of the log is missing. {REPLACE_TEXT}'
                )
            entries += segment.read(path == paths[-1])
            self.segments.append(segment)
        self._open_last()
        return entries

    def close(self) -> None:
        """Close the segment that is written."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1

    def _open_last(self) -> None:
        self.close()
        self.descriptor = os.open(
            self.segments[-1].path, os.O_WRONLY | os.O_APPEND
        )

    def roll(self, first_index: int) -> None:
        """Start a new segment; the last one must be synced."""
        if self.segments and self.segments[-1].first_index == first_index:
            return
        path = segment_path(self.folder, first_index)
        path.touch()
        sync_folder(self.folder)
        self.segments.append(_Segment(path, first_index))
        self._open_last()

    def append(self, entries: list[messages.Entry]) -> None:
        """Write and sync one group of entries."""
        segment = self.segments[-1]
        records = [pack_record(e, entries[0].index) for e in entries]
        data = memoryview(b''.join(records))
        while data:
            data = data[os.write(self.descriptor, data) :]
        os.fdatasync(self.descriptor)
        for record in records:
            segment.offsets.append(segment.size)
            segment.size += len(record)

    def truncate(self, first_cut: int) -> None:
        """Cut the records from first_cut on.

        Synced before anything else is written, so that old and new records
        never mix after a crash.
        """
        while (
            len(self.segments) > 1
            and self.segments[-1].first_index >= first_cut
        ):
            self.segments.pop().path.unlink()
        sync_folder(self.folder)
        segment = self.segments[-1]
        keep = max(0, first_cut - segment.first_index)
        if keep < len(segment.offsets):
            segment.size = segment.offsets[keep]
            del segment.offsets[keep:]
        self._open_last()
        os.ftruncate(self.descriptor, segment.size)
        os.fsync(self.descriptor)

    def drop_before(self, index: int) -> None:
        """Delete segments that hold only entries before index."""
        while len(self.segments) > 1 and self.segments[1].first_index <= index:
            self.segments.pop(0).path.unlink()

    def reset(self, first_index: int) -> None:
        """Delete all records and go on at first_index.

        The newest segment goes first and the oldest is emptied and renamed:
        what a crash leaves ends before the snapshot that replaces it, and a
        log without any file is always a loss.
        """
        self.close()
        while len(self.segments) > 1:
            self.segments.pop().path.unlink()
            sync_folder(self.folder)
        path = self.segments.pop().path
        with path.open('wb') as file:
            os.fsync(file.fileno())
        target = segment_path(self.folder, first_index)
        path.rename(target)
        sync_folder(self.folder)
        self.segments = [_Segment(target, first_index)]
        self._open_last()
