"""Crash reports by request fingerprint, and the quarantines they cause.

An owner node reports every fingerprint that its upstream ran when it
crashed, so most first reports name innocent requests. Only reports from
distinct upstream processes count towards the threshold.
"""

from godwitstall import messages
from godwitstall import settings

# One crash reports up to all slots of an upstream (300 at the current sites),
# and nodes receive all records at each change.
MAX_RECORDS = 1024
# More reports say nothing new; the settings allow no higher threshold.
MAX_INCARNATIONS = 100


class CrashReports:
    """Crash records by fingerprint, the least recent report first."""

    def __init__(self, threshold: int, lifetime_ms: int) -> None:
        # Distinct crashes after which a request is quarantined.
        self.threshold = threshold
        # Time from the last crash to the end of a record, milliseconds.
        self.lifetime_ms = lifetime_ms
        # Records by fingerprint.
        self.records: dict[bytes, messages.CrashRecord] = {}

    @classmethod
    def from_config(cls, options: settings.ControlOptions) -> 'CrashReports':
        """Return reports with threshold and lifetime of the settings."""
        return cls(
            options.crash_threshold, int(options.quarantine_lifetime_s * 1000)
        )

    def is_quarantined(self, record: messages.CrashRecord) -> bool:
        """Return whether requests with the fingerprint are refused."""
        return len(record.incarnations) >= self.threshold

    def report(
        self, command: messages.ReportCrash, time_ms: int
    ) -> tuple[messages.CommandResult, bool]:
        """Count a crash; the flag says whether nodes must learn of it."""
        if len(command.fingerprint) != 32:
            return _refuse('A fingerprint has 32 bytes.'), False
        incarnation = f'{command.node_id}/{command.upstream_incarnation}'
        record = self.records.get(command.fingerprint)
        if record is None:
            self._make_room()
            record = messages.CrashRecord(
                fingerprint=command.fingerprint,
                workspace=command.workspace,
                route_name=command.route_name,
                first_time_ms=time_ms,
            )
        elif incarnation in record.incarnations:
            return messages.CommandResult(
                is_accepted=True, detail='This crash is counted already.'
            ), False
        if len(record.incarnations) < MAX_INCARNATIONS:
            record.incarnations.append(incarnation)
        record.last_time_ms = time_ms
        self.records.pop(command.fingerprint, None)
        self.records[command.fingerprint] = record
        return messages.CommandResult(is_accepted=True), True

    def _make_room(self) -> None:
        """Drop the oldest suspect, or the oldest quarantine if all are."""
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
        """Forget the crashes of a fingerprint."""
        if self.records.pop(command.fingerprint, None) is None:
            return _refuse('No crash record has this fingerprint.'), False
        return messages.CommandResult(is_accepted=True), True

    def expire(self, time_ms: int) -> bool:
        """Drop records past their lifetime; return whether there were any."""
        is_changed = False
        while self.records:
            fingerprint, record = next(iter(self.records.items()))
            if record.last_time_ms + self.lifetime_ms >= time_ms:
                break
            del self.records[fingerprint]
            is_changed = True
        return is_changed

    def to_messages(self) -> list[messages.Quarantine]:
        """Return all suspects and quarantined requests for nodes."""
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
        """Replace the state by that of a snapshot."""
        self.records = {r.fingerprint: r for r in snapshot.records}


def _refuse(detail: str) -> messages.CommandResult:
    return messages.CommandResult(is_accepted=False, detail=detail)
