"""A call in the queue of a connection with HTTP pipelining."""

from dataclasses import dataclass

from waxwingsaddle.admitted_call import AdmittedCall
from waxwingsaddle.calls import Answer
from waxwingsaddle.http_heads import RequestHead


@dataclass(slots=True, eq=False)
class PipelinedCall:
    """One request of a connection.

    Attributes:
        head: Head of the request; None if it could not be parsed.
        admitted: The admitted call; None if the request was refused.
        is_last: Whether the connection closes after the answer.
        answer: Answer of the call; None until the call has ended.
    """

    head: RequestHead | None
    admitted: AdmittedCall | None = None
    is_last: bool = False
    answer: Answer | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether the call may run before earlier calls are answered."""
        return self.admitted.task.match.route.idempotent
