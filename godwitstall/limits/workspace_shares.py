"""Division of the admitted share of a level among workspaces.

When only a part of a level is admitted, a workspace that sends many times its
usual must not push out the others. The part is divided by max-min fairness:
each workspace may have up to the same rate, and what one does not use is left
to the others. Each node divides the requests that it sees itself.

Example: shares.on_request('shop-3', level=2, now=now) and then
shares.share_of('shop-3', level=2, share=0.5)
"""

import dataclasses
import math

# Time constant of the exponential decay of the counts, seconds. Shorter than
# the time for which a hot workspace fills a queue, and long enough for several
# requests of a usual workspace at a node.
_DECAY_TIME_S = 2.0

# Count below which a workspace is dropped, and interval of that, seconds.
_MIN_COUNT = 0.05
_PURGE_INTERVAL_S = 1.0

# Smallest share of a workspace's requests that is admitted, so that a single
# large workspace still learns when there is room again.
_MIN_WORKSPACE_SHARE = 0.05


@dataclasses.dataclass(slots=True)
class _Level:
    """Requests of one level by workspace, with exponential decay."""

    counts: dict[str, float] = dataclasses.field(default_factory=dict)
    # Time up to which the counts have decayed, seconds.
    decayed_at: float = 0.0


class WorkspaceShares:
    """Shares of workspaces in each level at one node."""

    def __init__(self) -> None:
        self.levels: dict[int, _Level] = {}

    def on_request(self, workspace: str, level: int, now: float) -> None:
        """Count a request, whether or not it is admitted."""
        state = self.levels.get(level)
        if state is None:
            state = self.levels[level] = _Level(decayed_at=now)
        if now - state.decayed_at >= _PURGE_INTERVAL_S:
            _decay(state, now)
        # A count that is not decayed yet grows by the factor that the next
        # decay takes away too much.
        weight = math.exp((now - state.decayed_at) / _DECAY_TIME_S)
        state.counts[workspace] = state.counts.get(workspace, 0.0) + weight

    def share_of(self, workspace: str, level: int, share: float) -> float:
        """Return the share of a workspace when share of the level is admitted.

        It is 1 for workspaces that send less than their part.
        """
        state = self.levels.get(level)
        if state is None or share >= 1:
            return min(share, 1.0)
        count = state.counts.get(workspace, 0.0)
        if not count:
            return share
        largest = _fair_count(list(state.counts.values()), share)
        return max(min(largest / count, 1.0), _MIN_WORKSPACE_SHARE)


def _decay(state: _Level, now: float) -> None:
    factor = math.exp(-(now - state.decayed_at) / _DECAY_TIME_S)
    state.counts = {
        workspace: count * factor
        for workspace, count in state.counts.items()
        if count * factor >= _MIN_COUNT
    }
    state.decayed_at = now


def _fair_count(counts: list[float], share: float) -> float:
    """Return the largest count of which all is admitted."""
    counts.sort()
    left = share * sum(counts)
    for index, count in enumerate(counts):
        even = left / (len(counts) - index)
        if count >= even:
            return even
        left -= count
    return counts[-1]
