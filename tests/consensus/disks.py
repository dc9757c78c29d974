"""Simulated disks, which lose what was not synced when the power fails.

Replicas use real folders. Disks replaces os.fsync() and os.fdatasync(), and
records what each sync covered. image() returns what a folder may contain
after a loss of power: a later write to a file is present, missing or torn,
and a name that was created, renamed or removed since the last sync of the
folder is kept or lost.

Example:
    disks = Disks(random.Random(seed), root / 'durable')
    disks.install(monkeypatch)
    image = disks.image(folder)     # The power fails.
    await fleet.stop(slot)
    disks.restore(folder, image)
"""

import contextlib
import errno
import os
import pathlib
import random
import shutil
import stat
import threading
import time

import pytest

# Longest duration of a sync of a fast and of a slow disk, seconds.
_MAX_SYNC_S = (0.001, 0.02)

_Names = dict[str, int]
Image = dict[str, bytes]


class Disks:
    """Durable content of the folders of a fleet."""

    def __init__(
        self, generator: random.Random, links_folder: pathlib.Path
    ) -> None:
        self.random = generator
        # Hard links to the files that have a durable name, so that a file
        # whose removal is lost still exists.
        self.links_folder = links_folder
        # Folders whose syncs fail.
        self.faulty_folders: set[pathlib.Path] = set()
        # Longest duration of a sync of each folder, seconds.
        self._max_sync_s: dict[pathlib.Path, float] = {}
        # Inodes of the durable names of each folder.
        self._names: dict[pathlib.Path, _Names] = {}
        # Content at the last sync, by inode. The descriptor keeps the inode
        # from being used for another file.
        self._contents: dict[int, tuple[int, bytes]] = {}
        self._lock = threading.Lock()

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Replace the sync functions until the end of the test."""
        monkeypatch.setattr(os, 'fsync', self.sync)
        monkeypatch.setattr(os, 'fdatasync', self.sync)

    def close(self) -> None:
        """Close all descriptors."""
        for descriptor, _ in self._contents.values():
            os.close(descriptor)
        self._contents.clear()

    def sync(self, descriptor: int) -> None:
        """Record the content of a file, or the names in a folder."""
        path = pathlib.Path(os.readlink(f'/proc/self/fd/{descriptor}'))
        status = os.fstat(descriptor)
        folder = path if stat.S_ISDIR(status.st_mode) else path.parent
        max_sync_s = self._max_sync_s.setdefault(
            folder, self.random.choice(_MAX_SYNC_S)
        )
        time.sleep(self.random.uniform(0, max_sync_s))
        with self._lock:
            if folder in self.faulty_folders:
                raise OSError(errno.EIO, 'The simulated disk failed')
            if path == folder:
                self._sync_names(path)
                return
            content = _read(descriptor)
            held = self._contents.get(status.st_ino, (-1, b''))[0]
            if held < 0:
                held = os.dup(descriptor)
            self._contents[status.st_ino] = held, content

    def _sync_names(self, folder: pathlib.Path) -> None:
        links = self.links_folder / folder.name
        links.mkdir(parents=True, exist_ok=True)
        names = _names(folder)
        linked = _names(links)
        for name, inode in linked.items():
            if names.get(name) != inode:
                (links / name).unlink()
        for name, inode in names.items():
            if linked.get(name) != inode:
                (links / name).hardlink_to(folder / name)
        self._names[folder] = names
        self._forget_removed_files()

    def _forget_removed_files(self) -> None:
        for inode, (descriptor, _) in list(self._contents.items()):
            if not os.fstat(descriptor).st_nlink:
                os.close(descriptor)
                del self._contents[inode]

    def forget(self, folder: pathlib.Path) -> None:
        """Forget a folder whose files have been removed."""
        with self._lock:
            self._names.pop(folder, None)
            shutil.rmtree(self.links_folder / folder.name, ignore_errors=True)
            self._forget_removed_files()

    def image(self, folder: pathlib.Path, keeps_later: bool) -> Image:
        """Return what the folder contains if the power fails now.

        keeps_later tells whether a part of what was not synced may survive.
        """
        with self._lock:
            while True:
                # A thread may rename or remove a file meanwhile.
                with contextlib.suppress(FileNotFoundError):
                    return self._image(folder, keeps_later)

    def _image(self, folder: pathlib.Path, keeps_later: bool) -> Image:
        durable = self._names.get(folder, {})
        present = _names(folder)
        kept = self._surviving_names(durable, present, keeps_later)
        image = {}
        for name, inode in kept.items():
            if inode in present.values():
                path = folder / _name_of(present, inode)
            else:
                path = self.links_folder / folder.name / name
            image[name] = self._surviving_content(
                inode, path.read_bytes(), keeps_later
            )
        return image

    def _surviving_names(
        self, durable: _Names, present: _Names, keeps_later: bool
    ) -> _Names:
        def is_change_kept() -> bool:
            return keeps_later and self.random.random() < 0.5

        kept: _Names = {}
        for name, inode in present.items():
            if durable.get(name) == inode or is_change_kept():
                kept[name] = inode
        for name, inode in durable.items():
            # A name that was given to another file is back if that was lost,
            # and so is the old name of a file whose renaming was lost.
            if name in kept or inode in kept.values():
                continue
            is_removed = inode not in present.values() and name not in present
            if not is_removed or not is_change_kept():
                kept[name] = inode
        return kept

    def _surviving_content(
        self, inode: int, content: bytes, keeps_later: bool
    ) -> bytes:
        synced = self._contents.get(inode, (-1, b''))[1]
        if content == synced or not keeps_later:
            return synced
        if not content.startswith(synced):
            return self.random.choice((synced, content))
        start = len(synced)
        end = self.random.randint(start, len(content))
        match self.random.randrange(4):
            case 0:
                return content
            case 1:
                return synced
            case 2:
                return content[:end]
            case _:
                # The end of the write is present and its begin is not.
                return synced + bytes(end - start) + content[end:]

    def restore(self, folder: pathlib.Path, image: Image) -> None:
        """Replace the files of a folder, durably."""
        shutil.rmtree(folder, ignore_errors=True)
        self.forget(folder)
        folder.mkdir()
        for name, content in image.items():
            with (folder / name).open('wb') as file:
                file.write(content)
                file.flush()
                os.fsync(file.fileno())
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _names(folder: pathlib.Path) -> _Names:
    with os.scandir(folder) as entries:
        return {entry.name: entry.inode() for entry in entries}


def _name_of(names: _Names, inode: int) -> str:
    return next(name for name, other in names.items() if other == inode)


def _read(descriptor: int) -> bytes:
    # The descriptor may be open for writing only.
    return pathlib.Path(f'/proc/self/fd/{descriptor}').read_bytes()
