"""Which holders give up their bytes when a budget is exceeded."""

import dataclasses

from godwitstall import byte_budget
from godwitstall import clock

_LIMIT_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(eq=False)
class _Holder:
    """A holder that gives up all of its bytes."""

    size: int
    moved_at: float

    def held_bytes(self) -> int:
        return self.size

    def release_bytes(self) -> None:
        self.size = 0


def _budget(holders: list[_Holder]) -> byte_budget.ByteBudget:
    return byte_budget.ByteBudget('test', _LIMIT_BYTES, set(holders))


def test_holders_that_stand_still_give_way_first() -> None:
    """Guards against a large body that moves cut for many that stand still."""
    now = clock.recent()
    moving = _Holder(_LIMIT_BYTES // 2, now)
    still = [_Holder(1024 * 1024, now - 60) for _ in range(40)]
    _budget([moving, *still]).enforce()
    assert moving.size == _LIMIT_BYTES // 2
    assert sum(holder.size for holder in still) == _LIMIT_BYTES // 2


def test_larger_holder_gives_way_among_those_that_move() -> None:
    """Guards against small bodies cut for one that takes all."""
    now = clock.recent()
    small = [_Holder(100 * 1024, now) for _ in range(10)]
    large = _Holder(_LIMIT_BYTES, now)
    _budget([large, *small]).enforce()
    assert large.size == 0
    assert all(holder.size for holder in small)


def test_many_small_holders_are_bounded() -> None:
    """Guards against thousands of peers that each stay below a threshold."""
    now = clock.recent()
    holders = [_Holder(20 * 1024, now) for _ in range(4096)]
    budget = _budget(holders)
    budget.enforce()
    assert budget.held_bytes() <= _LIMIT_BYTES


def test_nothing_is_released_below_the_limit() -> None:
    """Guards against peers that are cut while there is room."""
    holders = [_Holder(_LIMIT_BYTES // 64, 0.0) for _ in range(64)]
    budget = _budget(holders)
    budget.add(_LIMIT_BYTES)
    assert budget.held_bytes() == _LIMIT_BYTES
