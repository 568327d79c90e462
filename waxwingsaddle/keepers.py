"""Service `keepers`: claims of idempotency keys over calls of nodes."""

from waxwingsaddle.claims import Absent, Granted, InDoubt, Stored


class Keepers:
    """Claims keys for this node, and keeps claims for others.

    Args:
        host: Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._claimed: dict[tuple[str, str], Stored | None] = {}

    def claim(
        self,
        service: str,
        key: str,
        deadline_s: float,
    ) -> Granted | Stored | InDoubt | Absent:
        """Claims a key before its call is sent; blocks the green thread.

        Args:
            service: Name of the service; keys of services are apart.
            key: Idempotency key of the caller.
            deadline_s: Deadline of the call, on the monotonic clock.
        """
        place = (service, key)
        if place not in self._claimed:
            self._claimed[place] = None
            return Granted(service, key, self._host, self._host)
        return self._claimed[place] or InDoubt('in-progress')

    def done(self, granted: Granted, answer: bytes | None) -> None:
        """Stores that the call ran, with its answer; does not block.

        Args:
            granted: The claim, as carried on the call.
            answer: The packed answer, or None when it is too large.
        """
        self._claimed[(granted.service, granted.key)] = Stored(answer)

    def release(self, granted: Granted) -> bool:
        """Takes back a claim whose call certainly did not run; blocks.

        Returns:
            Whether the release is certain: only then answer `not-run`.
        """
        self._claimed.pop((granted.service, granted.key), None)
        return True
