"""A control process without its HTTP addresses: replica and service.

The programs add the listeners that operators use.

Example:
    process = Process.from_config(options, fleet)
    await process.start(options.link_address)
    await process.wait(wanted)
    await process.stop()
"""

import asyncio
import collections.abc
import contextlib

from godwitstall.consensus import replica as replica_module
from godwitstall.control import machine as machine_module
from godwitstall.control import service as service_module
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import logs
from godwitstall import messages
from godwitstall import settings

_LOG = logs.get('control')

# Time between two tries to start on a disk that refuses, seconds.
_DISK_RETRY_S = 1.0


class Process:
    """One replica of the replicated state and its service."""

    def __init__(
        self,
        options: settings.ControlOptions,
        replica: replica_module.Replica,
        service: service_module.Service,
    ) -> None:
        self.options = options
        self.replica = replica
        self.service = service

    @classmethod
    def from_config(
        cls, options: settings.ControlOptions, fleet: settings.FleetOptions
    ) -> 'Process':
        """Return a process for checked settings."""
        identity = link_module.Identity(
            messages.Role.CONTROL, options.slot, fleet.secret()
        )
        machine = machine_module.Machine.from_config(options)
        replica = replica_module.Replica.from_config(
            options, fleet, identity, machine
        )
        service = service_module.Service(options, identity, machine, replica)
        return cls(options, replica, service)

    async def start(self, link_address: str) -> None:
        """Read the disk and take part; links come to 'host:port'.

        Errors: DiskError when the disk refuses an operation, StorageError for
        one that is corrupt or of another fleet, OSError when the address
        cannot be used.
        """
        try:
            await self.replica.start()
        except OSError as e:
            raise errors.DiskError(f'The disk failed: {e}.') from e
        await self.service.start(link_address)
        _LOG.info('Replica %s started.', self.options.slot)

    async def wait(self, wanted: asyncio.Event) -> None:
        """Return when a stop is wanted or the replica has failed."""
        tasks = [
            asyncio.create_task(self.replica.wait_failed()),
            asyncio.create_task(wanted.wait()),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()

    async def stop(self) -> None:
        """Stop as planned.

        Errors: StorageError when the replica has failed, DiskError when the
        disk was the cause. A process without its replica serves nobody, and
        its nodes must connect to another one.
        """
        _LOG.info('Replica %s is stopping.', self.options.slot)
        await self.service.stop()
        _LOG.info('Replica %s stopped.', self.options.slot)
        match self.replica.failure:
            case None:
                return
            case OSError() | errors.DiskError():
                raise errors.DiskError(
                    f'The replica failed: {self.replica.failure}'
                )
            case failure:
                raise errors.StorageError(f'The replica failed: {failure}')


async def repeat_while_disk_fails(
    run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    wanted: asyncio.Event,
) -> None:
    """Run a replica again and again until its disk works or a stop is wanted.

    A full or faulty disk often recovers, and a process that ends and is
    started again at each try counts as one that crashes.
    """
    while not wanted.is_set():
        try:
            await run()
        except errors.DiskError as e:
            _LOG.error('%s Next try in %.1f s.', e, _DISK_RETRY_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_DISK_RETRY_S):
                    await wanted.wait()
        else:
            return
