"""Models of the administration API, shared by its server and client."""

from typing import Annotated, Any, Literal

import msgspec

from waxwingsaddle.addresses import Address, HostName

MAX_AUTHOR_LENGTH = 64
MAX_IDENTITY_LENGTH = 128

Author = Annotated[str, msgspec.Meta(max_length=MAX_AUTHOR_LENGTH)]
Identity = Annotated[str, msgspec.Meta(max_length=MAX_IDENTITY_LENGTH)]
FailureKind = Literal[
    'bad-request',
    'too-large',
    'not-found',
    'not-authenticated',
    'forbidden',
    'refused',
    'conflict',
    'unavailable',
    'unreachable',
    'internal',
]


class _Body(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Body of a request; unknown fields are refused."""


class EditBody(_Body):
    """An edit: the full content of all files.

    Attributes:
        base: Text of the base file; its `version` is the requested version.
        overlays: Text of each overlay by site name.
        author: Name for the history; ignored when tokens are in use.
    """

    base: str
    overlays: dict[str, str]
    author: Author = ''


class RollForwardBody(_Body):
    """Requests the content of an older version as a new version.

    Attributes:
        version: The requested version: the accepted version + 1.
        author: Name for the history; ignored when tokens are in use.
    """

    version: Annotated[int, msgspec.Meta(ge=1)]
    author: Author = ''


class MemberBody(_Body):
    """One change of the members of the replicated log.

    `host` selects its replica; `identity` selects one if the host has several.

    Attributes:
        action: `add` a learner, `promote` it to voter, `remove` a replica, or
            `replace` the voter of a lost identity by the learner of its host.
        host: Host of the replica.
        identity: Identity of the replica; required to add one.
        peer_address: Address for messages from control hosts (`add`).
    """

    action: Literal['add', 'promote', 'remove', 'replace']
    host: HostName
    identity: Identity = ''
    peer_address: Address | None = None


class Failure(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Reason why a request failed.

    Attributes:
        kind: Kind of the failure.
        message: One line of text that says what to do next.
        problems: Each problem of a refused edit: file, key, value, problem.
        expected_version: The version that an edit must request.
        version: The version that won a conflict.
        digest: Digest of the version that won a conflict.
        author: Author of the version that won a conflict.
    """

    kind: FailureKind
    message: str
    problems: tuple[str, ...] = ()
    expected_version: int | None = None
    version: int | None = None
    digest: str | None = None
    author: str | None = None


class Change(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One value that differs between two versions.

    Attributes:
        site: Name of the site.
        key: Dotted path of the value.
        before: The old value; absent when the key is new.
        after: The new value; absent when the key is deleted.
        is_delete: Whether the key is deleted.
    """

    site: str
    key: str
    before: Any = None
    after: Any = None
    is_delete: bool = False


class CheckedEdit(msgspec.Struct, frozen=True, kw_only=True):
    """An edit that passed all checks and was not submitted."""

    version: int
    digest: str
    changes: tuple[Change, ...]


class VersionEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted version in the history.

    Attributes:
        version: Configuration version.
        digest: Digest of all merged sites.
        author: Who submitted it.
        accepted_ms: When it was accepted, in milliseconds since the epoch.
    """

    version: int
    digest: str
    author: str
    accepted_ms: int


class History(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted versions, newest first."""

    version: int
    versions: tuple[VersionEntry, ...]


class VersionSources(VersionEntry, frozen=True, kw_only=True):
    """One accepted version with its files."""

    base: str
    overlays: dict[str, str]


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """What changed between two versions.

    Attributes:
        old_version: Older version.
        new_version: Newer version.
        changes: Values that differ, limited to the scope of the caller.
        is_partial: Whether more values differ outside the scope.
    """

    old_version: int
    new_version: int
    changes: tuple[Change, ...]
    is_partial: bool = False


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One replica of the log.

    Attributes:
        host: Control host of the replica.
        identity: Identity of the replica, created with an empty data folder and
            lost with its disk.
        peer_address: Address for messages from control hosts.
        is_voter: Whether it counts for majorities; otherwise it is a learner.
        is_leader: Whether it is the leader, according to the answering host.
    """

    host: str
    identity: str
    peer_address: str
    is_voter: bool
    is_leader: bool


class Members(msgspec.Struct, frozen=True, kw_only=True):
    """The members of the replicated log."""

    leader: str | None
    members: tuple[Member, ...]


class RolloutStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of the newest rollout of a service.

    Attributes:
        service: Name of the service.
        state: `running`, `completed` or `rolled_back`.
        target_version: Version that the order names.
        share_permille: Calls that the target version gets while the rollout
            runs, in thousandths.
    """

    service: str
    state: Literal['running', 'completed', 'rolled_back']
    target_version: str
    share_permille: int = 0


class Backup(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted configurations, to be stored outside the system.

    Attributes:
        form: Version of the format of this document.
        versions: Oldest first; the last one is the accepted version.
    """

    form: Literal[1] = 1
    versions: tuple[VersionSources, ...]


class Restored(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a restore.

    Attributes:
        version: The accepted version after the restore.
        digest: Its digest.
        submitted: Number of versions that the restore added.
    """

    version: int
    digest: str
    submitted: int
