"""Order in which large bodies of a host use its link.

Load pattern: several large answers of very different sizes are on their way at
once, for moments more than the link can carry. Served in turns, all of them end
late. The one with the fewest bytes left goes first, which delays few others.
Waiting counts as well, so that large answers are not starved.
"""

from dataclasses import dataclass

# An answer that has waited for a second is level with one that has this many
# bytes less to send.
_AGING_BYTES_PER_S = 32_768


@dataclass(slots=True)
class BulkTurn:
    """Position of a large body among those of its host.

    Attributes:
        opened_s: When its first piece was ready, in monotonic seconds.
        length_bytes: Length of its body; None if unknown.
        sent_bytes: Bytes already sent.
    """

    opened_s: float
    length_bytes: int | None
    sent_bytes: int = 0

    @property
    def order(self) -> float:
        """Sort key: the answer with the lowest one is served first."""
        if self.length_bytes is None:
            # A body that has been long so far is likely to go on for long.
            left_bytes = self.sent_bytes
        else:
            left_bytes = max(0, self.length_bytes - self.sent_bytes)
        return self.opened_s + left_bytes / _AGING_BYTES_PER_S
