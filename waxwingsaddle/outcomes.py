"""Edits of the configuration and their outcomes."""

import msgspec

from waxwingsaddle.config import SourceSet
from waxwingsaddle.raft_messages import Members


class Edit(msgspec.Struct, frozen=True, kw_only=True):
    """New source files; the base file names the requested version.

    Attributes:
        sources: The files.
        author: Who submits them.
        is_restore: Whether an empty log accepts it under any version, so
            that a restored log is not behind the nodes.
    """

    sources: SourceSet
    author: str
    is_restore: bool = False


class Accepted(msgspec.Struct, frozen=True, kw_only=True, tag='accepted'):
    """The edit is durably stored as the configuration of its version.

    Attributes:
        version: The version.
        digest: Digest of all merged sites.
        author: Who submitted it first.
        accepted_ms: When the leader received it, in milliseconds since the
            epoch.
    """

    version: int
    digest: str
    author: str
    accepted_ms: int


class Conflict(msgspec.Struct, frozen=True, kw_only=True, tag='conflict'):
    """Another edit was accepted under the requested version.

    Attributes:
        version: The requested version.
        winner_digest: Digest of the accepted edit.
        winner_author: Its author.
        current_version: Newest accepted version.
    """

    version: int
    winner_digest: str
    winner_author: str
    current_version: int


class Refused(msgspec.Struct, frozen=True, kw_only=True, tag='refused'):
    """The edit can't be accepted as it is.

    Attributes:
        problems: One line of text for each problem.
        expected_version: Version that an edit must request now, if the
            requested version is the problem.
    """

    problems: tuple[str, ...]
    expected_version: int | None = None


class Unavailable(msgspec.Struct, frozen=True, kw_only=True, tag='unavailable'):
    """The outcome is unknown: the edit may or may not be accepted later.

    The same edit can be submitted again; if it was accepted, the reply is
    that of the first submission.

    Attributes:
        reason: Reason, as one line of text.
    """

    reason: str


class MembersChanged(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='members-changed',
):
    """A membership change is committed.

    Attributes:
        members: The members after the change.
    """

    members: Members


class Newest(msgspec.Struct, frozen=True, kw_only=True, tag='newest'):
    """The newest accepted version, confirmed by a majority.

    Attributes:
        version: The version; 0 before any edit.
        changes: Number of changes of rollouts.
        departures: Number of entries with departures in the log.
    """

    version: int
    changes: int = 0
    departures: int = 0


Outcome = Accepted | Conflict | Refused | Unavailable
