"""A deregistration that a stopping node acknowledges is forgotten."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

# The pages' bounds of a small site, seconds.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
GRACE_S = 6.0
# Time until the platform starts a process that has ended.
RESTART_S = 0.5
# From the SIGTERM to the deregistration.
DEREGISTER_AFTER_S = 1.5


async def case(
    record: harness.Record,
    folder: pathlib.Path,
    programs: list[harness.Program],
    has_trouble: bool,
) -> int:
    """Run the case."""
    only = os.environ.get('ONLY', '')
    restarts = has_trouble and only != 'late'
    is_late = has_trouble and only not in ('restart', 'beats')
    control = harness.Control(folder, programs)
    control.start_all()
    nodes = [
        harness.Node(
            f'sidecar-{i + 1}', 'siop', control.seeds, folder, programs
        )
        for i in range(2)
    ]
    for node in nodes:
        node.start()
    operator = harness.Operator(control.addresses(), record)
    if not await operator.replace(harness.manifest(), 25):
        return 2
    backends = [
        harness.Backend('siop', f'i-{i + 1}', node)
        for i, node in enumerate(nodes)
    ]
    for backend in backends:
        await backend.start()
    clients = harness.Clients(nodes[1], 'siop.example', '/orders/', 60)
    clients.start()
    leaving, node = backends[0], nodes[0]
    for _ in range(100):
        await asyncio.sleep(0.1)
        if leaving.runs and await node.is_ready():
            break
    await asyncio.sleep(4)
    served = len(leaving.runs)
    record.write(f'{leaving.instance_id} has run {served} requests')
    if not served:
        return 2

    # The check-in that arrives late: sent while the backend is ready.
    if only != 'beats':
        leaving.stop_beats()
    late_beat = leaving.next_beat()
    if restarts:
        node.program.send_signal(signal.SIGTERM)
        record.write(f'SIGTERM to {node.name}')
    stopped_at = time.monotonic()
    await asyncio.sleep(DEREGISTER_AFTER_S)
    status = await leaving.deregister()
    acknowledged_at = time.monotonic()
    record.write(
        f'{leaving.instance_id} deregisters at {node.name}: {status}; '
        'it serves on'
    )
    if status != 200:
        return 2
    started_at = stopped_at
    if restarts:
        while node.program.is_running():
            if time.monotonic() - stopped_at > GRACE_S:
                record.write('SIGKILL after grace')
                node.program.kill()
            await asyncio.sleep(0.05)
        record.write(f'{node.name} has ended')
        await asyncio.sleep(RESTART_S)
        node.start()
        started_at = time.monotonic()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if await node.is_ready():
                break
        record.write(f'{node.name} is ready again')
    else:
        await asyncio.sleep(GRACE_S)
    if is_late:
        status = await leaving.send_beat(late_beat)
        record.write(
            f'check-in {leaving.sequence} of {leaving.instance_id} arrives '
            f'{time.monotonic() - stopped_at:.1f} s late: {status}'
        )
    await asyncio.sleep(6)
    clients.stop()
    # Both nodes are in touch from here on.
    in_touch_at = max(acknowledged_at + DRAIN_S, started_at + STABLE_WINDOW_S)
    late = [run for run in leaving.runs if run.at > acknowledged_at + DRAIN_S]
    counted = [run for run in late if run.at > in_touch_at]
    record.write(
        f'requests that reached {leaving.instance_id} later than drain after '
        f'the ack: {len(late)}, of them by machines in touch: {len(counted)}'
    )
    for run in counted[:5]:
        record.write(
            f'  {run.attempt_id} {run.at - acknowledged_at:.3f} s after it'
        )
    record.write(f'answers to the clients by status: {clients.answers}')
    record.write(f'runs of {backends[1].instance_id}: {len(backends[1].runs)}')
    return 1 if counted else 0


if __name__ == '__main__':
    harness.run(__file__, case)
