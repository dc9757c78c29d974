"""Attempt budget for the onward calls and retries of one dispatch.

The budget never exceeds its initial value, so the number of attempts in the
whole subtree stays bounded whatever fails (requirement R1).

Example: budget = ChainBudget(3); budget.reserve(2) == 2; budget.remaining == 1
"""


class ChainBudget:
    """Count of attempts that are not reserved yet."""

    def __init__(self, total: int) -> None:
        self._total = max(total, 0)
        # Attempts that can still be reserved.
        self.remaining = self._total

    def reserve(self, requested: int) -> int:
        """Reserve up to requested attempts and return how many."""
        count = max(min(requested, self.remaining), 0)
        self.remaining -= count
        return count

    def release(self, count: int) -> None:
        """Return the unused attempts of an onward call to the budget.

        A peer that returns more attempts than it was given cannot raise the
        budget above its initial value.
        """
        self.remaining = min(self.remaining + max(count, 0), self._total)
