"""The control process as a whole."""

import asyncio
import errno
import pathlib
import typing

import pytest

from godwitstall.consensus import storage
from godwitstall.control import program
from godwitstall import errors
from godwitstall import messages
from godwitstall import settings
from loadtool import addresses

# Longest wait before the test gives up on a hang, seconds.
_HANG_S = 30.0


def test_full_disk_ends_the_process(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that goes on without its replica.

    It would look healthy and hold the sessions of its nodes.
    """
    secret = tmp_path / 'secret'
    secret.write_bytes(b'0123456789abcdef')
    fleet = settings.FleetOptions(
        't', str(secret), {'c1': addresses.free_address()}
    )
    options = settings.ControlOptions(
        slot=messages.SlotId('c1'),
        zone='z',
        region='r',
        admin_address=addresses.free_address(),
        data_folder=str(tmp_path / 'data'),
    )
    storage.format_disk(tmp_path / 'data', 't', options.slot, True)

    def append(self: storage.LogFiles, entries: typing.Any) -> None:
        raise OSError(errno.ENOSPC, 'No space left on device')

    monkeypatch.setattr(storage.LogFiles, 'append', append)

    async def main() -> None:
        # A replica alone in its fleet leads, and writes, at once.
        async with asyncio.timeout(_HANG_S):
            await program.run(options, fleet)

    with pytest.raises(errors.StorageError, match='No space left on device'):
        asyncio.run(main())
