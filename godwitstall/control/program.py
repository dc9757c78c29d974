"""godwitstall-control: one replica of the replicated state, with a disk.

Run it as: godwitstall-control --settings control.toml
Format its data folder once before the first start with --format, and with
--initial as well only when the fleet is created.
"""

import asyncio
import pathlib
import signal
import sys

from absl import app
from absl import flags

from godwitstall import admin
from godwitstall.consensus import replica as replica_module
from godwitstall.consensus import storage
from godwitstall.control import machine as machine_module
from godwitstall.control import service as service_module
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import logs
from godwitstall import messages
from godwitstall import settings

_LOG = logs.get('control')

_SETTINGS = flags.DEFINE_string('settings', None, 'Settings file, TOML.')
_FORMAT = flags.DEFINE_bool('format', False, 'Format the data folder and end.')
_INITIAL = flags.DEFINE_bool(
    'initial', False, 'With --format: this disk belongs to a new fleet.'
)

_ADMIN_STOP_S = 1.0


async def run(
    options: settings.ControlOptions, fleet: settings.FleetOptions
) -> None:
    """Run a control process until SIGTERM or SIGINT."""
    identity = link_module.Identity(
        messages.Role.CONTROL, options.slot, fleet.secret()
    )
    machine = machine_module.Machine.from_config(options)
    replica = replica_module.Replica.from_config(
        options, fleet, identity, machine
    )
    service = service_module.Service(options, identity, machine, replica)
    listener = admin.create_server(
        options.admin_address,
        service.dump,
        lambda: replica.leader_slot is not None,
    )
    wanted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, wanted.set)
    await replica.start()
    await service.start(fleet.control[options.slot])
    await listener.start()
    _LOG.info('Replica %s started.', options.slot)
    await wanted.wait()
    _LOG.info('Replica %s is stopping.', options.slot)
    await service.stop()
    await listener.stop(_ADMIN_STOP_S)
    _LOG.info('Replica %s stopped.', options.slot)


def _run(argv: list[str]) -> None:
    if _SETTINGS.value is None or len(argv) > 1:
        raise app.UsageError(
            'Give --settings FILE, and --format to format the data folder.'
        )
    try:
        fleet, options, log_options = settings.load(
            pathlib.Path(_SETTINGS.value), settings.ControlOptions
        )
    except errors.SettingsError as e:
        for problem in e.problems:
            print(problem, file=sys.stderr)
        sys.exit(2)
    logs.setup(log_options.level, log_options.parts)
    try:
        if _FORMAT.value:
            storage.format_disk(
                pathlib.Path(options.data_folder),
                fleet.name,
                options.slot,
                _INITIAL.value,
            )
            return
        asyncio.run(run(options, fleet))
    except (errors.StorageError, OSError) as e:
        print(f'godwitstall-control: {e}', file=sys.stderr)
        sys.exit(1)


def main() -> None:
    """Entry point of the console script."""
    app.run(_run)


if __name__ == '__main__':
    main()
