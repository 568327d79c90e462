"""A call of a plain HTTP caller that an entry node has admitted."""

from dataclasses import dataclass

import msgspec

from waxwingsaddle.entry_bound import Reservation
from waxwingsaddle.http_heads import RequestHead
from waxwingsaddle.quota_stock import Admitted
from waxwingsaddle.tasks import CallTask


@dataclass(slots=True)
class AdmittedCall:
    """A call that has a route and a reserved slot.

    Attributes:
        head: Head of its request.
        arrived_s: Monotonic time at which the head was read, in seconds.
        task: The call; its request has no body until `set_body`.
        reservation: Slot and body bytes reserved on this node.
        quota: Token of the account, given back if the call does not run.
    """

    head: RequestHead
    arrived_s: float
    task: CallTask
    reservation: Reservation
    quota: Admitted

    def set_body(self, body: bytes) -> None:
        """Adds the body to the request."""
        if body:
            request = self.task.request
            self.task.request = msgspec.structs.replace(request, body=body)
