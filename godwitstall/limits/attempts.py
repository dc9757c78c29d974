"""Attempts left for the onward calls and retries of one dispatch.

The budget never grows above what it started with, so the runs in the whole
subtree stay bounded whatever fails (requirement R1).

Example: budget = ChainBudget(3); budget.allot(2) == 2; budget.remaining == 1
"""


class ChainBudget:
    """Count of attempts that are not allotted yet."""

    def __init__(self, total: int) -> None:
        self._total = max(total, 0)
        # Attempts that can still be allotted.
        self.remaining = self._total

    def allot(self, wanted: int) -> int:
        """Return min(wanted, remaining) and take it from the budget."""
        count = max(min(wanted, self.remaining), 0)
        self.remaining -= count
        return count

    def give_back(self, count: int) -> None:
        """Return attempts that an onward call did not use.

        A peer that returns more than it was allotted cannot raise the budget
        above its start value.
        """
        self.remaining = min(self.remaining + max(count, 0), self._total)
