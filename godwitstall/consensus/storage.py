"""Files of one replica; all functions in this module block.

disk.json     identity of the disk, written once by format_disk()
vote          current term and vote
wal-N.log     log segments; N is the index of the first record
snapshot-N.bin  state after entry N

The small files and the snapshots are replaced atomically: they are written
to a temporary file, synced and renamed, and then the folder is synced.

A log record is a header (CRC-32 of everything after it, length of the
command, index of the first record of the same sync, term, index, wall time)
and the command. A write that a crash interrupts leaves bad records only in
the last group, the records of one sync. A bad record before a good record of
a later group had been synced, so it is corruption and is not truncated.
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

_IDENTITY_FILE = 'disk.json'
_VOTE_FILE = 'vote'
_FORMAT_VERSION = 1
_RECORD_HEADER = struct.Struct('>IIQQQQ')
_CRC_BYTES = 4
_SNAPSHOT_HEADER = struct.Struct('>II')

# A greater length indicates corruption, because every command has passed
# through a frame of a link, which is at most this large.
_MAX_COMMAND_BYTES = codec.MAX_FRAME_BYTES

# Instructions to the operator, part of every error about a corrupt disk.
REPLACE_DISK_HINT = (
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
    # Random id, which formatting the disk again changes.
    disk_id: messages.DiskId
    # The disk was formatted when the fleet was created.
    is_initial: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """Content of the file named vote."""

    # Highest term seen.
    term: int = 0
    # 'slot/disk id' of the candidate voted for in this term, '' if none.
    voted_for: str = ''


async def run_blocking(
    action: collections.abc.Callable[..., None], *arguments: typing.Any
) -> None:
    """Run a file operation in a thread.

    Cancellation waits for the thread, however often it is repeated, so that
    the caller can safely reopen the files afterwards.
    """
    thread = asyncio.ensure_future(asyncio.to_thread(action, *arguments))
    is_cancelled = False
    while not thread.done():
        try:
            # Unlike await, this does not cancel the thread's future.
            await asyncio.wait((thread,))
        except asyncio.CancelledError:
            is_cancelled = True
    if not is_cancelled:
        thread.result()
        return
    # Retrieved, since asyncio logs an error that nobody has seen.
    thread.exception()
    raise asyncio.CancelledError()


def sync_folder(folder: pathlib.Path) -> None:
    """Make the creation, renaming and deletion of files durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _temp_path(path: pathlib.Path) -> pathlib.Path:
    # The random part avoids a conflict of two writers of the same file.
    return path.with_name(f'{path.name}.{secrets.token_hex(4)}.tmp')


def _replace_file(path: pathlib.Path, data: bytes | bytearray) -> None:
    temp_path = _temp_path(path)
    with temp_path.open('wb') as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temp_path.rename(path)
    sync_folder(path.parent)


def format_disk(
    folder: pathlib.Path,
    fleet_name: str,
    slot: messages.SlotId,
    is_initial: bool,
) -> None:
    """Prepare an empty data folder.

    is_initial must be true only when the fleet is created.

    Errors: StorageError when the folder is not empty.
    """
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise errors.StorageError(
            f'{folder} is not empty. Only an empty folder can be formatted; '
            'move its files away to replace the disk.'
        )
    write_vote(folder, Vote())
    _replace_file(segment_path(folder, 1), b'')
    identity = {
        'format': _FORMAT_VERSION,
        'fleet': fleet_name,
        'slot': slot,
        'disk_id': secrets.token_hex(16),
        'is_initial': is_initial,
    }
    _replace_file(
        folder / _IDENTITY_FILE, json.dumps(identity, indent=1).encode()
    )


def format_if_empty(
    folder: pathlib.Path,
    fleet_name: str,
    slot: messages.SlotId,
    is_initial: bool,
) -> None:
    """Format a data folder that contains no identity.

    The identity is written last, so files without an identity were left by
    an interrupted formatting and contain no data.
    """
    if (folder / _IDENTITY_FILE).exists():
        return
    folder.mkdir(parents=True, exist_ok=True)
    for path in folder.iterdir():
        _LOG.warning('Deleting %s of an interrupted formatting.', path.name)
        path.unlink()
    _LOG.info('Formatting %s, initial: %s.', folder, is_initial)
    format_disk(folder, fleet_name, slot, is_initial)


def read_identity(
    folder: pathlib.Path, fleet_name: str, slot: messages.SlotId
) -> DiskIdentity:
    """Return the identity of the disk and check its fleet and slot.

    Errors: StorageError when the disk is not formatted, is corrupt or is of
    another fleet or slot.
    """
    path = folder / _IDENTITY_FILE
    try:
        content = json.loads(path.read_bytes())
        if content['format'] != _FORMAT_VERSION:
            raise errors.StorageError(
                f'{path} has format {content["format"]}, this program reads '
                f'{_FORMAT_VERSION}. Start the program that wrote the file.'
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
            f'{path} is unreadable ({e}). {REPLACE_DISK_HINT}'
        ) from e
    for field, actual, expected in (
        ('fleet', identity.fleet_name, fleet_name),
        ('slot', identity.slot, slot),
    ):
        if actual != expected:
            raise errors.StorageError(
                f'{folder} is a disk of {field} {actual!r}, the settings say '
                f'{expected!r}. Attach the right disk or correct the settings.'
            )
    return identity


def write_vote(folder: pathlib.Path, vote: Vote) -> None:
    """Store term and vote durably."""
    body = f'{vote.term} {vote.voted_for}'.encode()
    _replace_file(folder / _VOTE_FILE, b'%08x %s' % (zlib.crc32(body), body))


def read_vote(folder: pathlib.Path) -> Vote:
    """Return term and vote.

    Errors: StorageError when the file is missing or corrupt, because a start
    without the vote could lead to two votes in one term.
    """
    path = folder / _VOTE_FILE
    try:
        crc, _, body = path.read_bytes().partition(b' ')
        if int(crc, 16) != zlib.crc32(body):
            raise ValueError('wrong checksum')
        term, _, voted_for = body.decode().partition(' ')
        return Vote(int(term), voted_for)
    except (OSError, ValueError) as e:
        raise errors.StorageError(
            f'{path} is unreadable ({e}). {REPLACE_DISK_HINT}'
        ) from e


def pack_snapshot(header: messages.SnapshotFile, state: bytes) -> bytes:
    """Return the bytes of a snapshot file.

    The state follows the header as raw bytes and header.state stays empty,
    because the codec limits the size of a message.
    """
    head = codec.encode(header)
    body = len(head).to_bytes(4, 'big') + head + state
    return zlib.crc32(body).to_bytes(_CRC_BYTES, 'big') + body


def unpack_snapshot(
    data: bytes | bytearray, name: str
) -> tuple[messages.SnapshotFile, memoryview]:
    """Return header and state of a snapshot file; does not copy the state.

    Errors: StorageError when the bytes are corrupt; its text contains name.
    """
    if len(data) >= _SNAPSHOT_HEADER.size:
        crc, length = _SNAPSHOT_HEADER.unpack_from(data)
        end = _SNAPSHOT_HEADER.size + length
        view = memoryview(data)
        if crc == zlib.crc32(view[_CRC_BYTES:]):
            header = codec.decode(bytes(view[_SNAPSHOT_HEADER.size : end]))
            if isinstance(header, messages.SnapshotFile):
                return header, view[end:]
    raise errors.StorageError(f'{name} is corrupt. {REPLACE_DISK_HINT}')


class SnapshotWriter:
    """Writes a snapshot file in parts; the file takes effect at commit().

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
        self.temp_path = _temp_path(self.path)
        # Bytes written.
        self.size = 0
        self._crc = 0
        self._file = self.temp_path.open('wb')
        self._file.write(bytes(_CRC_BYTES))
        head = codec.encode(header)
        try:
            self.write([len(head).to_bytes(4, 'big'), head])
        except OSError:
            self.close()
            raise

    def write(self, parts: list[bytes]) -> None:
        """Append parts of the state."""
        for part in parts:
            self._crc = zlib.crc32(part, self._crc)
            self._file.write(part)
            self.size += len(part)

    def commit(self) -> None:
        """Make the snapshot durable and delete older snapshots."""
        self._file.seek(0)
        self._file.write(self._crc.to_bytes(_CRC_BYTES, 'big'))
        self._file.flush()
        os.fsync(self._file.fileno())
        self._file.close()
        self.temp_path.rename(self.path)
        sync_folder(self.folder)
        _delete_older_snapshots(self.folder, self.path)

    def close(self) -> None:
        """Close the file, and delete it unless it was committed."""
        self._file.close()
        self.temp_path.unlink(missing_ok=True)


def _snapshot_path(folder: pathlib.Path, index: int) -> pathlib.Path:
    return folder / f'snapshot-{index:020d}.bin'


def write_snapshot(
    folder: pathlib.Path, index: int, data: bytes | bytearray
) -> None:
    """Store a snapshot durably and delete older snapshots."""
    path = _snapshot_path(folder, index)
    _replace_file(path, data)
    _delete_older_snapshots(folder, path)


def _delete_older_snapshots(folder: pathlib.Path, path: pathlib.Path) -> None:
    for other in folder.glob('snapshot-*.bin'):
        if other.name < path.name:
            other.unlink()


def delete_temp_files(folder: pathlib.Path) -> None:
    """Delete temporary files left by a crash; called at startup."""
    for temp_path in folder.glob('*.tmp'):
        temp_path.unlink()


def read_snapshot(folder: pathlib.Path) -> bytes | None:
    """Return the content of the newest snapshot file, None if none exists."""
    while True:
        paths = sorted(folder.glob('snapshot-*.bin'))
        if not paths:
            return None
        # A newer snapshot may replace the file before it is read.
        with contextlib.suppress(FileNotFoundError):
            return paths[-1].read_bytes()


def pack_record(entry: messages.Entry, group: int) -> bytes:
    """Return the record of an entry; group is the group's first index."""
    body = _RECORD_HEADER.pack(
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
    data: bytes, start: int, first_index: int, end_index: int
) -> tuple[messages.Entry, int, int] | None:
    """Return entry, group and end of a good record, None for a bad one.

    The index must be in range(first_index, end_index).
    """
    if len(data) - start < _RECORD_HEADER.size:
        return None
    crc, length, group, term, index, time_ms = _RECORD_HEADER.unpack_from(
        data, start
    )
    body = start + _RECORD_HEADER.size
    end = body + length
    if not first_index <= index < end_index or length > _MAX_COMMAND_BYTES:
        return None
    if end > len(data) or crc != zlib.crc32(data[start + _CRC_BYTES : end]):
        return None
    return messages.Entry(index, term, time_ms, data[body:end]), group, end


def segment_path(folder: pathlib.Path, first_index: int) -> pathlib.Path:
    """Return the path of the segment that starts at first_index."""
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
        """Return all entries; a torn tail of the last segment is truncated."""
        data = self.path.read_bytes()
        entries: list[messages.Entry] = []
        while self.size < len(data):
            index = self.first_index + len(entries)
            record = _parse_record(data, self.size, index, index + 1)
            if record is None:
                if not is_last or _has_later_group(data, self.size, index):
                    raise errors.StorageError(
                        f'{self.path} is corrupt at byte {self.size}, '
                        f'before the end of the log. {REPLACE_DISK_HINT}'
                    )
                self._truncate_tail(len(data))
                break
            self.offsets.append(self.size)
            entries.append(record[0])
            self.size = record[2]
        return entries

    def _truncate_tail(self, file_size: int) -> None:
        _LOG.warning(
            'Truncating %d bytes of an interrupted write to %s at byte %d.',
            file_size - self.size,
            self.path.name,
            self.size,
        )
        os.truncate(self.path, self.size)
        with self.path.open('rb') as file:
            os.fsync(file.fileno())


def _has_later_group(data: bytes, start: int, index: int) -> bool:
    """Return whether a good record of a later group follows start."""
    # The limit on the index avoids the checksum at nearly all offsets.
    for offset in range(start + 1, len(data) - _RECORD_HEADER.size + 1):
        record = _parse_record(data, offset, index, index + len(data))
        if record is not None and record[1] > index:
            return True
    return False


class LogFiles:
    """Segments of the log; not safe for concurrent use."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.segments: list[_Segment] = []
        self.descriptor = -1

    def open(self) -> list[messages.Entry]:
        """Return all entries, whose indexes are consecutive and durable.

        Errors: StorageError for corruption that a crash cannot cause.
        """
        paths = sorted(self.folder.glob('wal-*.log'))
        if not paths:
            raise errors.StorageError(
                f'{self.folder} has no log file. {REPLACE_DISK_HINT}'
            )
        entries: list[messages.Entry] = []
        for path in paths:
            segment = _Segment(path, int(path.stem.partition('-')[2]))
            if entries and segment.first_index != entries[-1].index + 1:
                raise errors.StorageError(
                    f'{path} does not follow entry {entries[-1].index}: '
                    f'a file of the log is missing. {REPLACE_DISK_HINT}'
                )
            entries += segment.read(path == paths[-1])
            self.segments.append(segment)
        self._open_last_segment()
        # The process that wrote the last entries may have been killed before
        # their sync.
        os.fsync(self.descriptor)
        return entries

    def close(self) -> None:
        """Close the last segment."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1

    def _open_last_segment(self) -> None:
        self.close()
        self.descriptor = os.open(
            self.segments[-1].path, os.O_WRONLY | os.O_APPEND
        )

    def roll(self, first_index: int) -> None:
        """Start a new segment; the previous segment must be synced."""
        if self.segments and self.segments[-1].first_index == first_index:
            return
        path = segment_path(self.folder, first_index)
        path.touch()
        sync_folder(self.folder)
        self.segments.append(_Segment(path, first_index))
        self._open_last_segment()

    def append(self, entries: list[messages.Entry]) -> None:
        """Write and sync a group of entries."""
        segment = self.segments[-1]
        records = [pack_record(e, entries[0].index) for e in entries]
        data = memoryview(b''.join(records))
        while data:
            data = data[os.write(self.descriptor, data) :]
        os.fdatasync(self.descriptor)
        for record in records:
            segment.offsets.append(segment.size)
            segment.size += len(record)

    def truncate(self, from_index: int) -> None:
        """Remove the records from from_index on.

        The truncation is synced before any other write, so that a crash
        cannot mix old and new records.
        """
        while (
            len(self.segments) > 1
            and self.segments[-1].first_index >= from_index
        ):
            self._delete_segment(-1)
        segment = self.segments[-1]
        kept_count = max(0, from_index - segment.first_index)
        if kept_count < len(segment.offsets):
            segment.size = segment.offsets[kept_count]
            del segment.offsets[kept_count:]
        self._open_last_segment()
        os.ftruncate(self.descriptor, segment.size)
        os.fsync(self.descriptor)

    def delete_before(self, index: int) -> None:
        """Delete segments that contain only entries before index."""
        while len(self.segments) > 1 and self.segments[1].first_index <= index:
            self._delete_segment(0)

    def _delete_segment(self, position: int) -> None:
        """Delete the oldest or the newest segment.

        The deletion is synced before the next one. Otherwise a loss of power
        could undo it and not the next, which would leave a gap in the log.
        """
        self.segments.pop(position).path.unlink()
        sync_folder(self.folder)

    def reset(self, first_index: int) -> None:
        """Delete all records and continue at first_index.

        Segments are deleted from the newest to the oldest, and the oldest is
        emptied and renamed. After a crash the log thus ends before the
        snapshot that replaces it, and a folder without a log file always
        indicates a loss.
        """
        self.close()
        while len(self.segments) > 1:
            self._delete_segment(-1)
        path = self.segments.pop().path
        with path.open('wb') as file:
            os.fsync(file.fileno())
        target = segment_path(self.folder, first_index)
        path.rename(target)
        sync_folder(self.folder)
        self.segments = [_Segment(target, first_index)]
        self._open_last_segment()
