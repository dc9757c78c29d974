"""Crash reports by request fingerprint, and the quarantines they cause.

When an upstream crashes, its owner node reports the fingerprint of every
request that the upstream was running, so most first reports concern harmless
requests. Only reports from distinct upstream processes count towards the
threshold.
"""

from godwitstall import messages
from godwitstall import settings

# Largest number of crash records. One crash reports up to all slots of an
# upstream (300 at the current sites), and nodes receive all records at each
# change.
MAX_RECORDS = 1024
# Largest number of upstream processes listed in a record. Settings allow no
# higher threshold, so further processes change nothing.
MAX_INCARNATIONS = 100


class CrashReports:
    """Crash records by fingerprint, ordered by last report, oldest first."""

    def __init__(self, crash_threshold: int, lifetime_ms: int) -> None:
        # Number of distinct crashes that quarantine a request.
        self.crash_threshold = crash_threshold
        # A record expires this long after its last crash, milliseconds.
        self.lifetime_ms = lifetime_ms
        # Records by fingerprint.
        self.records: dict[bytes, messages.CrashRecord] = {}

    @classmethod
    def from_config(cls, options: settings.ControlOptions) -> 'CrashReports':
        """Create an empty table with the limits of the settings."""
        return cls(
            options.crash_threshold, int(options.quarantine_lifetime_s * 1000)
        )

    def is_quarantined(self, record: messages.CrashRecord) -> bool:
        """Return whether requests with this fingerprint are rejected."""
        return len(record.incarnations) >= self.crash_threshold

    def report(
        self, command: messages.ReportCrash, time_ms: int
    ) -> tuple[messages.CommandResult, bool]:
        """Count a crash; return the result and whether the record changed.

        Nodes must be sent a changed record.
        """
        if len(command.fingerprint) != 32:
            return _rejected('A fingerprint must have 32 bytes.'), False
        upstream_process = f'{command.node_id}/{command.upstream_incarnation}'
        record = self.records.get(command.fingerprint)
        if record is None:
            self._evict_one()
            record = messages.CrashRecord(
                fingerprint=command.fingerprint,
                workspace=command.workspace,
                route_name=command.route_name,
                first_time_ms=time_ms,
            )
        elif upstream_process in record.incarnations:
            return messages.CommandResult(
                is_accepted=True, detail='This crash is already counted.'
            ), False
        if len(record.incarnations) < MAX_INCARNATIONS:
            record.incarnations.append(upstream_process)
        record.last_time_ms = time_ms
        self.records.pop(command.fingerprint, None)
        self.records[command.fingerprint] = record
        return messages.CommandResult(is_accepted=True), True

    def _evict_one(self) -> None:
        """Make room for a record if the table is full.

        Evicts the oldest record below the threshold, or the oldest quarantine
        if there is none, so that many first reports do not end a quarantine.
        """
        if len(self.records) < MAX_RECORDS:
            return
        for fingerprint, record in self.records.items():
            if not self.is_quarantined(record):
                del self.records[fingerprint]
                return
        del self.records[next(iter(self.records))]

    def lift(
        self, command: messages.Lift
    ) -> tuple[messages.CommandResult, bool]:
        """Remove the crash record of a fingerprint."""
        if self.records.pop(command.fingerprint, None) is None:
            return _rejected('There is no record of this fingerprint.'), False
        return messages.CommandResult(is_accepted=True), True

    def expire(self, time_ms: int) -> bool:
        """Drop expired records; return whether there were any."""
        is_changed = False
        while self.records:
            fingerprint, record = next(iter(self.records.items()))
            if record.last_time_ms + self.lifetime_ms >= time_ms:
                break
            del self.records[fingerprint]
            is_changed = True
        return is_changed

    def to_messages(self) -> list[messages.Quarantine]:
        """Return all crash records, quarantined or not, for the nodes."""
        return [
            messages.Quarantine(
                fingerprint=record.fingerprint,
                reports=len(record.incarnations),
                is_quarantined=self.is_quarantined(record),
                route_name=record.route_name,
                workspace=record.workspace,
                last_time_ms=record.last_time_ms,
            )
            for record in self.records.values()
        ]

    def to_snapshot(self) -> messages.QuarantineSnapshot:
        """Return the replicated state."""
        return messages.QuarantineSnapshot(records=list(self.records.values()))

    def restore(self, snapshot: messages.QuarantineSnapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.records = {r.fingerprint: r for r in snapshot.records}


def _rejected(detail: str) -> messages.CommandResult:
    return messages.CommandResult(is_accepted=False, detail=detail)
