"""Fair queue: comparison with a simple model, and shedding rules."""

import dataclasses
import os

import hypothesis
from hypothesis import strategies
import pytest

from godwitstall.limits import fair_queue
from godwitstall import messages

_EXAMPLES = 5000 if 'GODWITSTALL_SOAK' in os.environ else 300
_PAYMENT = messages.Priority.PAYMENT
_LOW = messages.Priority.LOW
_MAX_WAIT_S = 0.5


@dataclasses.dataclass
class _Model:
    """Model of the queue that scans plain lists in each operation."""

    max_length: int
    items: list[fair_queue.Item] = dataclasses.field(default_factory=list)
    expired: list[fair_queue.Item] = dataclasses.field(default_factory=list)
    # (virtual start time, entry number) of each busy (priority, workspace).
    tags: dict[tuple[int, str], tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    # Virtual start time that each idle flow has reached.
    idle_tags: dict[tuple[int, str], int] = dataclasses.field(
        default_factory=dict
    )
    virtual_times: dict[int, int] = dataclasses.field(default_factory=dict)
    next_entry: int = 0
    nonempty_since: float = 0.0

    def collect_expired(self, now: float) -> None:
        for item in list(self.items):
            expiry = min(item.deadline, item.enqueued_at + _MAX_WAIT_S)
            if expiry <= now:
                self.remove(item)
                self.expired.append(item)
        if now - self.nonempty_since <= _MAX_WAIT_S:
            return
        for item in list(self.items):
            waited = now - item.enqueued_at
            key = (item.priority.value, item.workspace)
            if (
                waited >= _MAX_WAIT_S * 0.2
                and item.priority is not _PAYMENT
                and len(self.flow(key)) > 1
            ):
                self.remove(item)
                self.expired.append(item)

    def remove(self, item: fair_queue.Item) -> None:
        """Remove an item; reset its flow and band when they become idle."""
        self.items.remove(item)
        key = (item.priority.value, item.workspace)
        if not self.flow(key):
            self.idle_tags[key] = self.tags.pop(key)[0]
        if not any(i.priority is item.priority for i in self.items):
            self.virtual_times.pop(key[0], None)
            self.idle_tags = {
                k: v for k, v in self.idle_tags.items() if k[0] != key[0]
            }

    def flow(self, key: tuple[int, str]) -> list[fair_queue.Item]:
        return [
            item
            for item in self.items
            if (item.priority.value, item.workspace) == key
        ]

    def push(self, item: fair_queue.Item, now: float) -> None:
        if item.deadline <= now:
            self.expired.append(item)
            return
        if len(self.items) >= self.max_length:
            self.collect_expired(now)
        if not self.items:
            self.nonempty_since = now
        key = (item.priority.value, item.workspace)
        if key not in self.tags:
            tag = max(
                self.idle_tags.get(key, 0), self.virtual_times.get(key[0], 0)
            )
            self.tags[key] = (tag, self.next_entry)
            self.next_entry += 1
        self.items.append(item)

    def shed_candidates(self) -> list[fair_queue.Item]:
        """Return the items that a full queue may shed."""
        lowest = max(item.priority.value for item in self.items)
        flows = [self.flow(key) for key in self.tags if key[0] == lowest]
        max_count = max(len(flow) for flow in flows)
        newest = [flow[-1] for flow in flows if len(flow) == max_count]
        latest = max(item.enqueued_at for item in newest)
        return [item for item in newest if item.enqueued_at == latest]

    def pop(self, now: float) -> fair_queue.Item | None:
        self.collect_expired(now)
        if not self.items:
            return None
        highest = min(key[0] for key in self.tags)
        key = min(
            (key for key in self.tags if key[0] == highest),
            key=lambda key: self.tags[key],
        )
        item = self.flow(key)[0]
        tag = self.tags[key][0]
        self.virtual_times[highest] = tag
        self.tags[key] = (tag + 1, self.next_entry)
        self.next_entry += 1
        self.remove(item)
        return item


_Step = tuple[str, messages.Priority, str, float, float, int]
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['push', 'push', 'push', 'pop', 'remove']),
        strategies.sampled_from(list(messages.Priority)),
        strategies.sampled_from('abc'),
        # Time to the deadline, and time elapsed before the step.
        strategies.sampled_from([0.0, 0.05, 0.2, 2.0]),
        strategies.sampled_from([0.0, 0.0, 0.001, 0.04, 0.12]),
        strategies.integers(0, 30),
    ),
    max_size=80,
)


@hypothesis.settings(max_examples=_EXAMPLES, deadline=None, derandomize=True)
@hypothesis.given(length=strategies.integers(1, 12), steps=_STEPS)
def test_against_model(length: int, steps: list[_Step]) -> None:
    """Guards against wrong order, lost items and wrong items shed."""
    queue = fair_queue.FairQueue(length, _MAX_WAIT_S)
    model = _Model(length)
    pushed: list[fair_queue.Item] = []
    now = 5.0
    for kind, priority, workspace, left_s, elapsed_s, k in steps:
        now += elapsed_s
        if kind == 'push':
            item = fair_queue.Item(workspace, priority, now + left_s)
            pushed.append(item)
            shed = queue.push(item, now)
            model.push(item, now)
            assert (shed is not None) == (len(model.items) > length)
            if shed is not None:
                assert shed in model.shed_candidates()
                model.remove(shed)
        elif kind == 'pop':
            assert queue.pop(now) is model.pop(now)
        elif pushed:
            item = pushed[k % len(pushed)]
            is_present = item in model.items or item in model.expired
            assert queue.remove(item) == is_present
            if item in model.items:
                model.remove(item)
            elif is_present:
                model.expired.remove(item)
        assert len(queue) == len(model.items)
        if k == 0:
            model.collect_expired(now)
            assert set(map(id, queue.expire(now))) == set(
                map(id, model.expired)
            )
            model.expired = []


def _fill(
    queue: fair_queue.FairQueue,
    count: int,
    priority: messages.Priority,
    now: float,
    workspace: str = 'a',
) -> None:
    for _ in range(count):
        queue.push(fair_queue.Item(workspace, priority, now + 60), now)


def test_payments_are_shed_last() -> None:
    """Guards against payments shed before lower priorities (R2)."""
    queue = fair_queue.FairQueue(10, _MAX_WAIT_S)
    _fill(queue, 10, _PAYMENT, 0.0)
    item = fair_queue.Item('b', _LOW, 60.0)
    assert queue.push(item, 0.0) is item
    queue.pop(0.0)
    assert queue.push(fair_queue.Item('b', _LOW, 60.0), 0.0) is None
    shed = queue.push(fair_queue.Item('a', _PAYMENT, 60.0), 0.0)
    assert shed is not None and shed.priority is _LOW


def test_large_workspace_takes_no_more_than_its_turns() -> None:
    """Guards against a workspace that starves another by its volume."""
    queue = fair_queue.FairQueue(100, _MAX_WAIT_S)
    _fill(queue, 50, _LOW, 0.0, 'large')
    _fill(queue, 3, _LOW, 0.0, 'small')
    served = [queue.pop(0.01) for _ in range(6)]
    names = [item.workspace for item in served if item is not None]
    assert names.count('small') == 3


@pytest.mark.parametrize('priority,is_shed', [(_LOW, True), (_PAYMENT, False)])
def test_standing_queue_is_shed(
    priority: messages.Priority, is_shed: bool
) -> None:
    """Guards against a standing queue that outlasts its cause."""
    queue = fair_queue.FairQueue(100, _MAX_WAIT_S)
    now = 0.0
    for step in range(60):
        now = step * 0.01
        _fill(queue, 1, priority, now)
        if step % 2:
            queue.pop(now)
    assert queue.is_overloaded(now)
    waits = [now - item.enqueued_at for item in queue.expire(now)]
    assert bool(waits) == is_shed
    if is_shed:
        assert len(queue) <= 11


def test_small_workspace_waits_for_its_turn() -> None:
    """Guards against shedding the workspace that sends least."""
    queue = fair_queue.FairQueue(100, _MAX_WAIT_S)
    for step in range(50):
        _fill(queue, 1, _LOW, step * 0.01, 'large')
    _fill(queue, 1, _LOW, 0.5, 'small')
    now = 0.5 + _MAX_WAIT_S * 0.3
    _fill(queue, 1, _LOW, now, 'large')
    assert queue.is_overloaded(now)
    assert {item.workspace for item in queue.expire(now)} == {'large'}
    served = [queue.pop(now), queue.pop(now)]
    assert 'small' in [item.workspace for item in served if item is not None]


def test_removed_items_free_their_memory() -> None:
    """Guards against a memory leak from items removed behind a queued item."""
    queue = fair_queue.FairQueue(1000, 1e6)
    _fill(queue, 1, _LOW, 0.0)
    for _ in range(5000):
        item = fair_queue.Item('a', _LOW, 1e6)
        queue.push(item, 0.0)
        assert queue.remove(item)
    assert len(queue) == 1
    assert len(queue._expiries) < 200
    assert len(queue._arrivals) < 200


def test_retry_hint_follows_drain_rate() -> None:
    """Guards against a retry delay that ignores the drain rate."""
    queue = fair_queue.FairQueue(1000, 60.0)
    _fill(queue, 300, _LOW, 0.0)
    for step in range(200):
        queue.pop(1 + step * 0.01)
    assert queue.retry_after_s(3.0) == pytest.approx(1.01)
