"""Identifiers of finished calls, to detect duplicates."""

from collections import OrderedDict
from dataclasses import dataclass, field

from waxwingsaddle.call_class import Call

# About 250 bytes each.
_MAX_FINISHED_IDS = 2000


@dataclass(slots=True)
class FinishedCalls:
    """Identifiers of the calls that finished last and must not run twice."""

    _ids: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._ids

    def add(self, call: Call) -> None:
        """Records a call, unless it may run more than once."""
        if call.is_idempotent:
            return
        self._ids[call.call_id] = None
        if len(self._ids) > _MAX_FINISHED_IDS:
            self._ids.popitem(last=False)
