"""The complete control process."""

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

_TEST_TIMEOUT_S = 30.0


def test_full_disk_ends_the_process(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that keeps running without its replica.

    Such a process would appear healthy and keep the sessions of its nodes.
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
        # The only replica of a fleet becomes leader and writes immediately.
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            await program.run(options, fleet)

    with pytest.raises(errors.StorageError, match='No space left on device'):
        asyncio.run(main())
