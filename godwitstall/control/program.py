"""godwitstall-control: one replica of the control state, with a disk.

Example: godwitstall-control --settings control.toml
Before the first start, format the data folder once with --format. Add
--initial only when the fleet is created.
"""

import gc
import pathlib
import sys

from absl import flags

from godwitstall import admin
from godwitstall import command_line
from godwitstall import connection_limit
from godwitstall.consensus import storage
from godwitstall.control import process as process_module
from godwitstall import errors
from godwitstall import event_loop
from godwitstall.http import asgi
from godwitstall.http import listener as http_listener
from godwitstall import logs
from godwitstall import settings
from godwitstall import signals

_PROGRAM = 'godwitstall-control'
_USAGE = """Usage: godwitstall-control --settings FILE [--format [--initial]]

Runs one replica of the control state until SIGTERM or SIGINT. Its data folder
is formatted once, before the first start.

  --settings FILE  Settings file with the tables [fleet] and [control], TOML.
  --format         Format the data folder, which must be empty, and exit.
  --initial        With --format: the disk belongs to a new fleet. Never use
                   it when a disk of a running fleet is replaced.

Exit codes: 0 done, 1 failed, 2 invalid settings or usage."""

_FLAGS = command_line.new_flags()
_SETTINGS = flags.DEFINE_string('settings', None, 'Settings file.', _FLAGS)
_FORMAT = flags.DEFINE_bool('format', False, 'Format and exit.', _FLAGS)
_INITIAL = flags.DEFINE_bool(
    'initial', False, 'The disk belongs to a new fleet.', _FLAGS
)

_ADMIN_STOP_TIMEOUT_S = 1.0


async def run(
    options: settings.ControlOptions, fleet: settings.FleetOptions
) -> None:
    """Run a control process until SIGTERM or SIGINT.

    Errors: StorageError when the replica fails, DiskError when a disk error
    such as a full disk is the cause.
    """
    process = process_module.Process.from_config(options, fleet)
    serve_admin = asgi.handler(
        admin.create_app(
            process.service.dump,
            lambda: process.replica.leader_slot is not None,
        )
    )
    listener = http_listener.Listener(
        {options.admin_address: serve_admin},
        max_connections=connection_limit.descriptor_share(
            options.max_client_connections,
            connection_limit.CONTROL_CLIENT_SHARE,
        ),
    )
    if options.metrics_address:
        listener.handlers[options.metrics_address] = serve_admin
    stop_requested = signals.stop_requested()
    await process.start(fleet.control[options.slot])
    await listener.start()
    # As in the node: otherwise a full collection blocks the event loop for
    # 34 ms.
    gc.collect()
    gc.freeze()
    await process.wait_until_stop(stop_requested)
    try:
        await process.stop()
    finally:
        await listener.close_gracefully(_ADMIN_STOP_TIMEOUT_S)


def main() -> None:
    """Entry point of the console script."""
    arguments = command_line.parse(_PROGRAM, _USAGE, _FLAGS, sys.argv)
    if arguments:
        command_line.exit_with_usage_error(
            _PROGRAM, f'unexpected argument {arguments[0]!r}'
        )
    if _INITIAL.value and not _FORMAT.value:
        command_line.exit_with_usage_error(
            _PROGRAM, '--initial needs --format'
        )
    fleet, options, log_options = command_line.load_settings(
        _PROGRAM, _SETTINGS.value, settings.ControlOptions
    )
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
        event_loop.run(run(options, fleet))
    except (errors.StorageError, OSError) as e:
        print(f'{_PROGRAM}: {e}', file=sys.stderr)
        sys.exit(1)


if __name__ == '__main__':
    main()
