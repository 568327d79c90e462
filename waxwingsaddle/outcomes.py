"""Edits of the configuration and what becomes of them."""

import msgspec

from waxwingsaddle.config import SourceSet
from waxwingsaddle.raft_messages import Members


class Edit(msgspec.Struct, frozen=True, kw_only=True):
    """New source files; the base file names the version wanted.

    Attributes:
        sources: The files.
        author: Who submits them.
        is_restore: Whether an empty log takes it under any version, so that
            a restored log is not behind the nodes.
    """

    sources: SourceSet
    author: str
    is_restore: bool = False


class Accepted(msgspec.Struct, frozen=True, kw_only=True, tag='accepted'):
    """The edit is the configuration of its version, durably.

    Attributes:
        version: The version.
        digest: Digest of all merged sites.
        author: Who submitted it first.
        accepted_ms: When the leader took it, in milliseconds since the epoch.
    """

    version: int
    digest: str
    author: str
    accepted_ms: int


class Conflict(msgspec.Struct, frozen=True, kw_only=True, tag='conflict'):
    """Another edit has the version wanted.

    Attributes:
        version: The version wanted.
        winner_digest: Digest of the edit that has it.
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
        problems: One readable line each.
        expected_version: Version that an edit must want now, when the version
            wanted is the problem.
    """

    problems: tuple[str, ...]
    expected_version: int | None = None


class Unavailable(msgspec.Struct, frozen=True, kw_only=True, tag='unavailable'):
    """The result is not known: the edit may or may not be accepted later.

    The same edit can be submitted again; if it was accepted, the answer is
    the first one.

    Attributes:
        reason: Why, in one readable line.
    """

    reason: str


class MembersChanged(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='members-changed',
):
    """A change of members is committed.

    Attributes:
        members: The members since.
    """

    members: Members


class Newest(msgspec.Struct, frozen=True, kw_only=True, tag='newest'):
    """The newest accepted version, as a majority proved it.

    Attributes:
        version: The version; 0 before any edit.
    """

    version: int


Outcome = Accepted | Conflict | Refused | Unavailable
