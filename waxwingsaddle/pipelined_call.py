"""One call of a connection whose caller sends further ones meanwhile."""

from dataclasses import dataclass

from waxwingsaddle.calls import Answer
from waxwingsaddle.http_heads import RequestHead
from waxwingsaddle.ingress import Admitted


@dataclass(slots=True, eq=False)
class PipelinedCall:
    """One request of a connection.

    Attributes:
        head: Its head; absent when it could not be read.
        admitted: What the ingress made of it; absent for a refused one.
        is_last: Whether the connection closes after its answer.
        answer: How it ended; absent while it runs.
    """

    head: RequestHead | None
    admitted: Admitted | None = None
    is_last: bool = False
    answer: Answer | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run beside calls that came before it."""
        return self.admitted.task.match.route.idempotent
