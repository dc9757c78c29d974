"""Bytes that an earlier build wrote, read by this one."""

import asyncio
import dataclasses
import json
import pathlib
import shutil

import msgspec
import pytest

from godwitstall import codec
from godwitstall import messages
from tests.control import harness
from tests.recorded import recorder

_MESSAGES: dict[str, str] = json.loads(recorder.MESSAGES.read_text())
# Messages to which fields were added later, as the build before wrote them.
_EARLIER_MESSAGES: dict[str, str] = json.loads(
    recorder.EARLIER_MESSAGES.read_text()
)
# Fields that were added to the schema later, by class.
_ADDED_FIELDS: dict[str, tuple[str, ...]] = {
    'StateUpdate': ('has_evacuations', 'evacuations'),
    'MachineSnapshot': ('evacuations',),
    'ServiceRule': ('cold_start_ms', 'cold_per_s'),
    'Hello': ('takes_parts',),
    'HelloReply': ('takes_parts',),
}


def test_every_message_is_recorded() -> None:
    """Guards against a message of which no bytes are compared."""
    names = {kind.__name__ for kind in recorder.all_kinds()}
    assert names == set(_MESSAGES)


@pytest.mark.parametrize(
    'kind', recorder.all_kinds(), ids=lambda k: k.__name__
)
def test_message_has_the_recorded_bytes(kind: type) -> None:
    """Guards against a renamed or moved field that old peers misread."""
    data = bytes.fromhex(_MESSAGES[kind.__name__])
    message = recorder.sample(kind)
    assert codec.encode(message) == data
    assert codec.decode(data) == message


def _extends(values: object, earlier: object) -> bool:
    """Return whether arrays only have more elements at their ends."""
    if not isinstance(values, list) or not isinstance(earlier, list):
        return values == earlier
    return len(values) >= len(earlier) and all(
        _extends(value, earlier_value)
        for value, earlier_value in zip(values, earlier, strict=False)
    )


def _lacks_only_added_fields(decoded: object, sample: object) -> bool:
    """Return whether only added fields differ, which have their defaults."""
    if isinstance(decoded, list) and isinstance(sample, list):
        return len(decoded) == len(sample) and all(
            map(_lacks_only_added_fields, decoded, sample)
        )
    if not dataclasses.is_dataclass(decoded):
        return decoded == sample
    if isinstance(decoded, type) or type(decoded) is not type(sample):
        return False
    added = _ADDED_FIELDS.get(type(decoded).__name__, ())
    default = type(decoded)()
    return all(
        getattr(decoded, field.name) == getattr(default, field.name)
        if field.name in added
        else _lacks_only_added_fields(
            getattr(decoded, field.name), getattr(sample, field.name)
        )
        for field in dataclasses.fields(decoded)
    )


@pytest.mark.parametrize('name', _EARLIER_MESSAGES)
def test_message_extends_its_earlier_bytes(name: str) -> None:
    """Guards against a new field that moves those which old peers know.

    Peers of an earlier build ignore the elements at the end of an array, and
    send arrays without them. In a schema, fields that were not sent have their
    default values.
    """
    data = bytes.fromhex(_EARLIER_MESSAGES[name])
    if not isinstance(codec.decode(data), msgspec.Struct):
        decoded = codec.decode(data)
        assert _lacks_only_added_fields(
            decoded, recorder.sample(type(decoded))
        )
        assert decoded != recorder.sample(type(decoded))
        return
    earlier = msgspec.msgpack.decode(data)
    decoded = codec.decode(data)
    for message in decoded, recorder.sample(type(decoded)):
        values = msgspec.msgpack.decode(codec.encode(message))
        assert _extends(values, earlier)
        assert values != earlier


async def _set_addresses(fleet: harness.Fleet) -> None:
    """Replace the recorded addresses of the replicas by those of this run."""
    for slot, process in fleet.control.items():
        found = await fleet.addresses_for(slot)
        for peer in process.replica.state.peers.values():
            peer.address = found[peer.slot]


def test_fleet_starts_on_recorded_disks(tmp_path: pathlib.Path) -> None:
    """Guards against a build that loses what an earlier one acknowledged.

    The three data folders hold a vote, a snapshot and log entries after it.
    """
    expected = json.loads(recorder.EXPECTED.read_text())
    ids = [messages.OperationId(text) for text in expected['OPERATIONS']]
    for slot in harness.SLOTS:
        shutil.copytree(recorder.DISKS / slot, tmp_path / slot)

    async def run() -> None:
        fleet = harness.Fleet(tmp_path, **recorder.OPTIONS)
        try:
            await fleet.start()
            await _set_addresses(fleet)
            leader = fleet.control[await fleet.leader()]
            found = recorder.read(leader, ids)
            assert json.loads(json.dumps(found)) == expected
            # The old log goes on with entries of this build.
            await fleet.apply_note(harness.rate_note(3, 6.0, 8))
            assert leader.configuration.number == 3
        finally:
            await fleet.close()

    asyncio.run(run())
