"""Room that is reserved in a budget before it is taken."""

import asyncio
import dataclasses

from godwitstall import byte_budget
from godwitstall import clock

_LIMIT_BYTES = 90_000_000
_TIMEOUT_S = 10.0


@dataclasses.dataclass(eq=False)
class _Holder:
    """A holder that gives up its bytes only if it may."""

    size: int
    gives_way: bool = False

    @property
    def moved_at(self) -> float:
        return clock.recent()

    def held_bytes(self) -> int:
        return self.size

    def release_bytes(self) -> None:
        if self.gives_way:
            self.size = 0


async def _granted(reservation: byte_budget.Reservation) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while not reservation.is_granted:
            await asyncio.sleep(0.005)


def _ignore() -> None:
    """Called when a reservation is granted."""


def test_room_is_granted_in_the_order_of_requests() -> None:
    """Guards against old requests that wait behind new ones."""

    async def run() -> None:
        budget = byte_budget.ByteBudget('test', _LIMIT_BYTES)
        first = budget.reserve(_LIMIT_BYTES, 1.0, _ignore)
        late = budget.reserve(_LIMIT_BYTES, 3.0, _ignore)
        early = budget.reserve(_LIMIT_BYTES, 2.0, _ignore)
        assert first.is_granted
        assert not early.is_granted and not late.is_granted
        first.release()
        await _granted(early)
        assert not late.is_granted
        early.release()
        await _granted(late)
        late.release()
        assert budget.held_bytes() == 0

    asyncio.run(run())


def test_reservation_that_ends_another_one() -> None:
    """Guards against requests that wait for good behind such a one."""

    async def run() -> None:
        budget = byte_budget.ByteBudget('test', _LIMIT_BYTES)
        first = budget.reserve(budget.total_bytes, 1.0, _ignore)
        later = budget.reserve(1_000_000, 4.0, _ignore)
        budget.reserve(1_000_000, 3.0, later.release)
        last = budget.reserve(_LIMIT_BYTES, 5.0, _ignore)
        first.release()
        await _granted(last)
        assert not later.is_granted

    asyncio.run(run())


def test_room_is_kept_for_the_oldest_request() -> None:
    """Guards against answers that all wait for the one that is sent first."""

    async def run() -> None:
        ready = _Holder(_LIMIT_BYTES)
        budget = byte_budget.ByteBudget('test', _LIMIT_BYTES, {ready})
        newer = budget.reserve(1_000_000, 2.0, _ignore)
        # The only one that waits is the oldest, too.
        assert newer.is_granted
        oldest = budget.reserve(1_000_000, 1.0, _ignore)
        assert not oldest.is_granted
        newer.release()
        other = budget.reserve(1_000_000, 3.0, _ignore)
        assert not other.is_granted
        await _granted(oldest)
        assert not other.is_granted

    asyncio.run(run())


def test_holders_give_way_for_an_answer_that_waits() -> None:
    """Guards against callers that wait while a crowd holds the memory."""

    async def run() -> None:
        crowd = _Holder(_LIMIT_BYTES, gives_way=True)
        budget = byte_budget.ByteBudget('test', _LIMIT_BYTES, {crowd})
        await _granted(budget.reserve(_LIMIT_BYTES, 1.0, _ignore))
        assert crowd.size == 0

    asyncio.run(run())


def test_new_requests_are_not_taken_while_answers_wait() -> None:
    """Guards against requests that run although nobody could be answered."""

    async def run() -> None:
        ready = _Holder(_LIMIT_BYTES)
        budget = byte_budget.ByteBudget('test', _LIMIT_BYTES, {ready})
        # One large answer that waits keeps no others out.
        budget.reserve(_LIMIT_BYTES // 2, 0.5, _ignore)
        waiting = budget.reserve(_LIMIT_BYTES // 2, 1.0, _ignore)
        assert not budget.is_congested()
        async with asyncio.timeout(_TIMEOUT_S):
            while not budget.is_congested():
                await asyncio.sleep(0.01)
        waiting.release()
        assert not budget.is_congested()

    asyncio.run(run())
