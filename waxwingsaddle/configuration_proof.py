"""Proof that the configuration of a node is the newest accepted one.

Without it, a node that is cut off from the control hosts would go on accepting
keys of accounts that have been revoked.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from waxwingsaddle.util.clock import MS_PER_S


@dataclass(slots=True)
class ConfigurationProof:
    """Remembers until when the version of a node was known to be the newest.

    Times are counted from when the node asked, less the age of the contact of
    the control host with a majority, so that a delayed answer proves less.

    Attributes:
        limit_ms: Age of the proof from which the configuration is unconfirmed,
            in milliseconds; 0 for never.
        clock: Returns seconds, also those for which the host is suspended.
    """

    limit_ms: int
    clock: Callable[[], float]
    _proven_s: float = -inf
    _newer_version: int = 0
    _newer_proven_s: float = -inf

    def stamp_ms(self) -> int:
        """Returns the time of a question; its answer has to repeat it."""
        return round(self.clock() * MS_PER_S)

    def observe(
        self,
        stamp_ms: int,
        majority_age_ms: int,
        newest_version: int,
        own_version: int,
    ) -> None:
        """Records the answer of a control host.

        Args:
            stamp_ms: Time of the question; 0 if the answer doesn't repeat it.
            majority_age_ms: Time since the last contact of the control host
                with a majority.
            newest_version: Newest version that the control host has.
            own_version: Version of this node.
        """
        if not stamp_ms:
            return
        proven_s = (stamp_ms - majority_age_ms) / MS_PER_S
        if newest_version > own_version:
            self._newer_version = newest_version
            self._newer_proven_s = proven_s
        else:
            self._proven_s = max(self._proven_s, proven_s)

    def is_confirmed(self, own_version: int) -> bool:
        """Returns whether a version was recently the newest.

        Args:
            own_version: Version of this node.
        """
        if not self.limit_ms:
            return True
        if own_version >= self._newer_version:
            # The version that an earlier answer named has arrived since.
            self._proven_s = max(self._proven_s, self._newer_proven_s)
        age_ms = (self.clock() - self._proven_s) * MS_PER_S
        return age_ms <= self.limit_ms
