"""The purge log: lines numbered without gaps, in two files of which at least one is complete at all times."""

from __future__ import annotations

from wickhinge.store.file_format import PURGE_LINE_BYTES, encode_purge_line
from wickhinge.store.files import Files, replace_file
from wickhinge.store.purges import EVERY_GROUP, LineKind, Purge, PurgeLine

PURGE_LOG_NAMES = ("purges-a.wh", "purges-b.wh")
# The log is rewritten once its lines exceed MAX_LINES_PER_PURGE per purge in force, plus MIN_LINES_TO_REWRITE.
MAX_LINES_PER_PURGE = 4
MIN_LINES_TO_REWRITE = 4096


class PurgeLog:
    """Writes the purge log. Every method may block; Lane.LOG runs them.

    Attributes:
        next_sequence: Sequence number of the next line.
        bytes_written: Bytes written by `append`, in both files together.
    """

    def __init__(self, files: Files, directory: str) -> None:
        self.next_sequence = 0
        self.bytes_written = 0
        self._files = files
        self._directory = directory
        self._handles: list[int] = []
        self._line_count = 0

    def append(self, purges: list[Purge]) -> None:
        """Append purges to both files and make them durable.

        After a failure the next call writes at the same offset again, and begins with the same sequence number.
        """
        data = b"".join(
            encode_purge_line(PurgeLine(self.next_sequence + index, LineKind.PURGE, purge))
            for index, purge in enumerate(purges)
        )
        for handle in self._handles:
            self._files.write(handle, data, self._line_count * PURGE_LINE_BYTES)
            self._files.sync(handle)
        self.next_sequence += len(purges)
        self._line_count += len(purges)
        self.bytes_written += 2 * len(data)

    def is_oversized(self, purge_count: int) -> bool:
        """Return whether the log holds far more lines than there are purges in force."""
        return self._line_count > MAX_LINES_PER_PURGE * purge_count + MIN_LINES_TO_REWRITE

    def rewrite(self, purges: list[Purge], event_number: int, newest_segment: int) -> None:
        """Replace both files, one after the other.

        Args:
            purges: All purges in force.
            event_number: Number of the last journal event that `purges` covers.
            newest_segment: Number of the newest segment.
        """
        all_groups_purge = next((purge for purge in purges if purge.key is None and purge.group < 0), None)
        base = all_groups_purge or Purge(None, EVERY_GROUP, 0.0, newest_segment, event_number)
        lines = [PurgeLine(self.next_sequence, LineKind.BASE, base._replace(event_number=event_number))]
        for purge in purges:
            if purge is not all_groups_purge:
                lines.append(PurgeLine(self.next_sequence + len(lines), LineKind.PURGE, purge))
        self.close_files(ignore_errors=False)
        data = b"".join(encode_purge_line(line) for line in lines)
        for name in PURGE_LOG_NAMES:
            replace_file(self._files, self._directory, name, data)
        self._handles = [self._files.open(f"{self._directory}/{name}", write=True) for name in PURGE_LOG_NAMES]
        self._line_count = len(lines)
        self.next_sequence += len(lines)

    def close_files(self, *, ignore_errors: bool = True) -> None:
        """Close both files; nothing can be appended until the next `rewrite`.

        Args:
            ignore_errors: Whether an error of a file's close is ignored instead of raised.
        """
        handles, self._handles = self._handles, []
        for handle in handles:
            try:
                self._files.close(handle)
            except OSError:
                if not ignore_errors:
                    raise
