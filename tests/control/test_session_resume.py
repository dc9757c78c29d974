"""A node that changes its replica receives only the missing changes."""

import asyncio
import typing

from godwitstall import codec
from godwitstall.control import barrier as barriers
from godwitstall.control import machine as machines
from godwitstall.control import sessions as session_module
from godwitstall import messages
from godwitstall import settings

_OPTIONS = settings.ControlOptions(
    slot=messages.SlotId('c1'),
    zone='z',
    region='r',
    admin_address='127.0.0.1:1',
    data_folder='unused',
)


class _Link:
    """Records the updates that are sent."""

    unsent_bytes = 0
    is_closed = False

    def __init__(self) -> None:
        self.updates: list[messages.StateUpdate] = []

    def send(self, message: messages.Message) -> None:
        if isinstance(message, messages.StateUpdate):
            self.updates.append(message)

    def send_encoded(self, data: bytes) -> None:
        self.send(codec.decode(data))


class _Barrier:
    """Completes every wait() immediately."""

    async def wait(self, timeout_s: float) -> None:
        return


def _join(number: int) -> bytes:
    return codec.encode(
        messages.Join(
            messages.Member(
                node_id=messages.NodeId(f'n{number}'),
                incarnation=1,
                service=messages.ServiceName('siop'),
                address=f'10.0.0.{number}:1',
            )
        )
    )


def _first_update(applied_index: int) -> messages.StateUpdate | None:
    """Return the first update of a session whose node has applied_index."""
    machine = machines.Machine.from_config(_OPTIONS)
    for index in range(1, 41):
        machine.apply(index, 1_700_000_000_000, _join(index))
    barrier: typing.Any = _Barrier()
    sessions = session_module.Sessions(
        machine, typing.cast(barriers.Barrier, barrier)
    )
    link: typing.Any = _Link()

    async def scenario() -> None:
        session = sessions.on_heartbeat(
            link,
            messages.Heartbeat(
                node_id=messages.NodeId('n1'),
                incarnation=1,
                applied_index=applied_index,
            ),
        )
        assert session is not None
        await sessions.confirm(session)

    asyncio.run(scenario())
    return link.updates[0] if link.updates else None


def test_new_node_gets_everything() -> None:
    """Guards against a node that treats a partial state as the full one."""
    update = _first_update(0)
    assert update is not None and update.is_full
    assert len(update.members) == 40


def test_node_of_another_replica_gets_what_changed() -> None:
    """Guards against full updates for nodes that change their replica."""
    update = _first_update(37)
    assert update is not None and not update.is_full
    assert {member.node_id for member in update.members} == {
        'n38',
        'n39',
        'n40',
    }


def test_gap_between_updates_grows_with_the_sessions() -> None:
    """Guards against updates to all nodes for each node that joins."""
    machine = machines.Machine.from_config(_OPTIONS)
    sessions = session_module.Sessions(
        machine, typing.cast(barriers.Barrier, _Barrier())
    )
    intervals_s = []
    for count in (0, 40, 10_000):
        links: typing.Any = range(count)
        sessions.by_link = {
            link: session_module.Session(link) for link in links
        }
        intervals_s.append(sessions._push_interval_s())
    assert intervals_s == sorted(intervals_s)
    # 0.2 s is a tenth of the time within which a change must be in force.
    assert (
        intervals_s[0] <= 0.02
        and intervals_s[1] <= 0.1
        and intervals_s[2] <= 0.2
    )


def test_node_that_lacks_nothing_gets_nothing() -> None:
    """Guards against updates without changes, or to an older state."""
    assert _first_update(40) is None
    assert _first_update(99) is None
