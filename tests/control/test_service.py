"""Sessions, soft state and error replies of the control service."""

import asyncio
import collections.abc
import contextlib
import pathlib
import socket

import pytest

from godwitstall import clock
from godwitstall import codec
from godwitstall.control import sessions as sessions_module
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import messages
from tests.control import harness
from tests import fakes

_NODE = messages.NodeId('n9')


async def _connect(
    fleet: harness.Fleet,
    slot: str,
    handler: link_module.Handler | None = None,
) -> link_module.Link:
    """Connect as a node to a control process, without a proxy."""
    link = await link_module.connect(
        fleet.addresses[slot],
        link_module.Identity(messages.Role.NODE, _NODE, fakes.SECRET),
    )

    async def ignore(message: messages.Message) -> None:
        """Discard a state update."""

    asyncio.create_task(link.run(handler or ignore))
    return link


@contextlib.asynccontextmanager
async def _leaderless(
    fleet: harness.Fleet,
) -> collections.abc.AsyncGenerator[harness.Process, None]:
    """Partition all replicas from each other; yield the former leader."""
    leader = await fleet.leader()
    for slot in harness.SLOTS:
        fleet.partition(slot, others=fleet.other_slots(slot))
    process = fleet.control[leader]
    await fakes.until(
        lambda: not any(p.replica.is_leader for p in fleet.control.values()),
        'no replica is leader',
    )
    yield process
    for slot in harness.SLOTS:
        fleet.heal(slot, others=fleet.other_slots(slot))


def test_heartbeats_faster_than_confirmed(tmp_path: pathlib.Path) -> None:
    """Guards against one task per heartbeat that cannot be confirmed.

    The last heartbeat must still get a reply.
    """

    async def run() -> None:
        async with harness.running(tmp_path) as fleet:
            leader = await fleet.leader()
            process = fleet.control[leader]
            link = await _connect(fleet, leader)
            fleet.partition(leader, others=fleet.other_slots(leader))
            await fakes.until(lambda: not process.replica.holds_lease())
            before = len(process.service.tasks)
            for _ in range(500):
                link.send(messages.Heartbeat(1, _NODE, 5))
            last = asyncio.create_task(
                link.request(messages.Heartbeat(0, _NODE, 5), 30.0)
            )
            max_tasks = 0
            while not last.done():
                max_tasks = max(max_tasks, len(process.service.tasks) - before)
                await asyncio.sleep(0)
            reply = last.result()
            assert isinstance(reply, messages.HeartbeatReply)
            assert not reply.is_fresh
            assert max_tasks <= 1

    asyncio.run(run())


def test_session_ends_with_its_link(tmp_path: pathlib.Path) -> None:
    """Guards against a session that outlives its link.

    The link is closed right after a heartbeat. A remaining session would
    delay a planned stop, which waits for all sessions to move.
    """

    async def run() -> None:
        async with harness.running(tmp_path) as fleet:
            leader = await fleet.leader()
            service = fleet.control[leader].service
            for _ in range(20):
                link = await _connect(fleet, leader)
                link.send(messages.Heartbeat(1, _NODE, 5))
                link.close()
            await fakes.until(
                lambda: (
                    not any(other.peer_id == _NODE for other in service.links)
                ),
                'all links are closed',
            )
            await asyncio.sleep(0)
            assert not service.sessions.by_link

    asyncio.run(run())


def test_node_that_does_not_read(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against unbounded buffering of updates for a slow node.

    Its heartbeats must not be confirmed as fresh while it lacks an update.
    When it reads again, one update must contain all missed changes.
    """
    max_unsent_bytes = 16 * 1024
    monkeypatch.setattr(sessions_module, '_MAX_UNSENT_BYTES', max_unsent_bytes)
    text = harness.FIRST_NOTE + ''.join(
        f'[[added.workspaces]]\nname = "w{i}"\nrate = 1\nburst = 9\n'
        for i in range(500)
    )
    updates: list[messages.StateUpdate] = []

    async def record_update(message: messages.Message) -> None:
        if isinstance(message, messages.StateUpdate):
            updates.append(message)

    async def run() -> None:
        async with harness.running(tmp_path, text=text) as fleet:
            leader = await fleet.leader()
            process = fleet.control[leader]
            link = await _connect(fleet, leader, record_update)
            await link.request(messages.Heartbeat(0, _NODE, 5), 10.0)
            (session,) = process.service.sessions.by_link.values()
            for endpoint, name in (
                (link, socket.SO_RCVBUF),
                (session.link, socket.SO_SNDBUF),
            ):
                raw_socket = endpoint.writer.transport.get_extra_info('socket')
                raw_socket.setsockopt(socket.SOL_SOCKET, name, 4096)
            link.writer.transport.pause_reading()  # type: ignore
            size = len(codec.encode(process.machine.full_update()))
            max_unsent = number = 1
            while session.sent_index == process.machine.applied_index:
                number += 1
                assert number < 500, 'the socket buffer did not fill up'
                await fleet.apply_note(
                    harness.rate_note(number, 500.0, 1000 + number)
                )
                for _ in range(10):
                    await asyncio.sleep(0.005)
                    max_unsent = max(max_unsent, session.link.unsent_bytes)
            for _ in range(10):
                number += 1
                await fleet.apply_note(
                    harness.rate_note(number, 500.0, 1000 + number)
                )
                max_unsent = max(max_unsent, session.link.unsent_bytes)
            assert max_unsent <= max_unsent_bytes + 2 * size
            heartbeat = asyncio.create_task(
                link.request(messages.Heartbeat(0, _NODE, 5), 30.0)
            )
            await fakes.until(lambda: session.pending_heartbeat is None)
            await asyncio.sleep(0.1)
            link.writer.transport.resume_reading()  # type: ignore
            await heartbeat
            await link.request(messages.Heartbeat(0, _NODE, 5), 10.0)
            assert updates[-1].configuration.number == number

    asyncio.run(run())


def test_stale_reply_while_an_update_is_held_back(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lease for state that was not sent (R3, R10)."""

    async def run() -> None:
        async with harness.running(tmp_path) as fleet:
            leader = await fleet.leader()
            link = await _connect(fleet, leader)
            first = await link.request(messages.Heartbeat(0, _NODE, 5), 9.0)
            assert isinstance(first, messages.HeartbeatReply)
            assert first.is_fresh
            monkeypatch.setattr(sessions_module, '_MAX_UNSENT_BYTES', -1)
            await fleet.apply_note(harness.withdrawal_note(2))
            second = await link.request(messages.Heartbeat(0, _NODE, 5), 9.0)
            assert isinstance(second, messages.HeartbeatReply)
            assert not second.is_fresh
            monkeypatch.undo()
            last = await link.request(messages.Heartbeat(0, _NODE, 5), 9.0)
            assert isinstance(last, messages.HeartbeatReply)
            assert last.is_fresh

    asyncio.run(run())


def test_soft_state_of_a_new_leader(tmp_path: pathlib.Path) -> None:
    """Guards against a new leader that grants or expires too early.

    Its ledger starts at level 0 and is limited to half of the burst for one
    grant lifetime, and every member gets the whole timeout again. The
    partitioned former leader must not grant tokens.
    """

    async def run() -> None:
        async with harness.running(tmp_path, 'n1', 'n2') as fleet:
            former = await fleet.leader()
            others = fleet.other_slots(former)
            starts: list[
                tuple[str, float, float, float, dict[object, float]]
            ] = []

            def record_starts(process: harness.Process) -> None:
                leadership = process.service.leadership
                original = leadership.on_role_change

                def on_role_change(is_leader: bool) -> None:
                    original(is_leader)
                    if is_leader:
                        bucket = leadership.ledger._buckets['w']
                        starts.append(
                            (
                                process.slot,
                                bucket.filled_at,
                                bucket.level,
                                bucket.settled_at,
                                dict(leadership.liveness.last_heartbeats),
                            )
                        )

                process.replica.on_role_change = on_role_change

            for slot in others:
                record_starts(fleet.control[slot])
            partitioned_at = clock.now()
            fleet.partition(former, others=others)
            await fakes.until(lambda: fleet.leader_slot() in others)
            slot, started, level, settled, last = starts[-1]
            assert slot in others
            assert level == 0
            lifetime_s = (
                fleet.control[slot].service.options.grant_lifetime_ms / 1000
            )
            assert settled >= started + lifetime_s
            assert {name for name, _ in last} == {'n1', 'n2'}  # type: ignore
            assert min(last.values()) >= partitioned_at
            with pytest.raises(errors.ControlError) as caught:
                fleet.control[former].service.leadership.grant(
                    messages.GrantRequest(
                        0,
                        _NODE,
                        5,
                        [messages.Want(messages.WorkspaceName('w'), 0, 1, 1)],
                    ),
                    clock.now(),
                )
            assert caught.value.kind is errors.ErrorKind.NOT_LEADER

    asyncio.run(run())


def test_request_while_the_leader_cannot_be_reached(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a known leader that is reported as missing.

    The link to it was closed, because it had gone silent.
    """

    async def run() -> None:
        async with harness.running(tmp_path) as fleet:
            async with _leaderless(fleet) as former_leader:
                slot = fleet.other_slots(former_leader.slot)[0]
                replica = fleet.control[slot].replica
                link = replica.leader_link()
                if link is not None:
                    link.close()
                await fakes.until(
                    lambda: replica.leader_link() is None, 'link closed'
                )
                follower = await _connect(fleet, slot)
                with pytest.raises(errors.ControlError) as caught:
                    await follower.request(
                        messages.Propose(
                            0, codec.encode(messages.Drain(_NODE, True))
                        ),
                        10.0,
                    )
                assert caught.value.kind is errors.ErrorKind.CONTROL_LOST
                assert former_leader.slot in caught.value.detail

    asyncio.run(run())


def test_requests_without_a_leader(tmp_path: pathlib.Path) -> None:
    """Guards against requests that hang, or crash a process."""
    requests: list[tuple[messages.Message, errors.ErrorKind]] = [
        (
            messages.Propose(0, codec.encode(messages.Drain(_NODE, True))),
            errors.ErrorKind.NOT_LEADER,
        ),
        (
            messages.GrantRequest(0, _NODE, 5, []),
            errors.ErrorKind.NOT_LEADER,
        ),
        (
            messages.Query(0, messages.QueryKind.STATUS),
            errors.ErrorKind.CONTROL_LOST,
        ),
        (messages.BarrierRequest(), errors.ErrorKind.NOT_LEADER),
    ]

    async def run() -> None:
        async with harness.running(tmp_path) as fleet:
            async with _leaderless(fleet) as process:
                link = await _connect(fleet, process.slot)
                for request, kind in requests:
                    with pytest.raises(errors.ControlError) as caught:
                        await link.request(request, 10.0)
                    assert caught.value.kind is kind
                    assert caught.value.detail
                follower = await _connect(
                    fleet, fleet.other_slots(process.slot)[0]
                )
                with pytest.raises(errors.ControlError) as caught:
                    # The follower still regards the former leader as leader.
                    await follower.request(requests[0][0], 10.0)
                assert caught.value.kind is errors.ErrorKind.CONTROL_LOST
                assert process.slot in caught.value.detail
                reply = await link.request(
                    messages.Heartbeat(0, _NODE, 5), 10.0
                )
                assert isinstance(reply, messages.HeartbeatReply)
                assert not reply.is_fresh
            await fleet.apply_note(harness.rate_note(2, 1.0, 1))
            reply = await link.request(
                messages.Query(0, messages.QueryKind.STATUS), 10.0
            )
            assert isinstance(reply, messages.QueryReply)

    asyncio.run(run())


def test_garbage_and_unknown_requests(tmp_path: pathlib.Path) -> None:
    """Guards against invalid bytes that affect more than their own link."""

    async def run() -> None:
        async with harness.running(tmp_path, 'n1') as fleet:
            leader = await fleet.leader()
            link = await _connect(fleet, leader)
            # Messages without a sequence number cannot be answered.
            for stray in (messages.Hello(), messages.Claim()):
                link.send(stray)
            for request in (
                messages.SnapshotChunk(),
                messages.AppendRequest(),
                messages.VoteRequest(),
            ):
                with pytest.raises(errors.ControlError) as caught:
                    await link.request(request, 9.0)
                assert caught.value.kind is errors.ErrorKind.NOT_ADMITTED
            reply = await link.request(messages.Propose(0, b'garbage'), 9.0)
            assert isinstance(reply, messages.ProposeReply)
            result = codec.decode(reply.result)
            assert isinstance(result, messages.CommandResult)
            assert not result.is_accepted
            for garbage in (
                b'\xff' * 64,
                b'\0\0\0\x08' + b'\xfe' * 8,
                b'\0\0\0\0',
            ):
                bad = await _connect(fleet, leader)
                bad.writer.write(garbage)
                await fakes.until(
                    lambda bad=bad: bad.is_closed,  # type: ignore
                    'the link is closed',
                )
            assert not link.is_closed
            await fleet.apply_note(harness.rate_note(2, 500.0, 702))
            await fleet.wait_in_force(2)
            assert len(fleet.control) == 3
            for process in fleet.control.values():
                assert process.replica.failure is None

    asyncio.run(run())
