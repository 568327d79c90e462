"""Documents of the administration API, shared by its server and client."""

from typing import Annotated, Any, Literal

import msgspec

from waxwingsaddle.addresses import Address, HostName
from waxwingsaddle.events import Event

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
    """A document that a client sends; a misspelt field is an error."""


class EditBody(_Body):
    """An edit: the whole content of all files.

    Attributes:
        base: Text of the base file; its `version` is the version wanted.
        overlays: Text of each overlay by site name.
        author: Name for the history; ignored when tokens are in use.
    """

    base: str
    overlays: dict[str, str]
    author: Author = ''


class RollForwardBody(_Body):
    """Asks for the content of an older version as a new version.

    Attributes:
        version: The new version wanted: the accepted version + 1.
        author: Name for the history; ignored when tokens are in use.
    """

    version: Annotated[int, msgspec.Meta(ge=1)]
    author: Author = ''


class MemberBody(_Body):
    """One change of the control hosts.

    A host names the replica it has; `identity` decides when a host has two.

    Attributes:
        action: `add` a learner, `promote` it to voter, `remove` a replica, or
            `replace` the vote of an ended identity by the learner of its host.
        host: Host of the replica.
        identity: Identity of the replica; required to add one.
        peer_address: Where it receives messages from control hosts (`add`).
    """

    action: Literal['add', 'promote', 'remove', 'replace']
    host: HostName
    identity: Identity = ''
    peer_address: Address | None = None


class Failure(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Why a request was not done.

    Attributes:
        kind: What sort of failure it is.
        message: One readable line that says what to do next.
        problems: Each problem of a refused edit: file, key, value, problem.
        expected_version: The version that an edit must want.
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
    """An edit that passed every check and was not submitted."""

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
    """What changed between two versions."""

    old_version: int
    new_version: int
    changes: tuple[Change, ...]


class NodeVersion(msgspec.Struct, frozen=True, kw_only=True):
    """What one node has in force.

    Attributes:
        host: Unique name of the host.
        availability_zone: Its availability zone.
        site: Site whose configuration it carries.
        control_host: Control host that holds its lease.
        version: Version in force; 0 for none yet.
        age_ms: Time since the node was last heard of, in milliseconds.
    """

    host: str
    availability_zone: str
    site: str
    control_host: str
    version: int
    age_ms: int


class ReplicationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of the log as one control host sees it.

    Attributes:
        identity: Identity of its replica.
        is_leader: Whether it leads and can write.
        leader: Name of the leading host, when known.
        term: Newest term seen.
        version: Newest accepted version known here.
        problem: Why the replica stands still, if it does.
    """

    identity: str
    is_leader: bool
    leader: str | None
    term: int
    version: int
    problem: str | None


class VersionCount(msgspec.Struct, frozen=True, kw_only=True):
    """How many nodes have a version in force."""

    version: int
    nodes: int


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of the fleet, as the answering control host knows it.

    Attributes:
        host: The control host that answers.
        version: The accepted version.
        digest: Its digest.
        majority_age_ms: Time since contact with a majority was proven; the
            answer may be out of date when this is more than 2 s.
        node_count: Number of known nodes.
        in_force: Number of nodes with the accepted version in force.
        versions: Number of nodes for each version, newest first.
        lagging: Nodes behind the accepted version.
        missing_hosts: Control hosts that did not answer, so that their nodes
            may be missing.
        nodes: All known nodes, when asked for.
        replication: State of the log on the answering host.
    """

    host: str
    version: int
    digest: str
    majority_age_ms: float
    node_count: int
    in_force: int
    versions: tuple[VersionCount, ...]
    lagging: tuple[NodeVersion, ...]
    missing_hosts: tuple[str, ...] = ()
    nodes: tuple[NodeVersion, ...] = ()
    replication: ReplicationStatus | None = None


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream in the directory."""

    name: str
    service: str
    host: str
    availability_zone: str
    call_address: str
    slots: int
    state: str
    started_ms_ago: int


class Upstreams(msgspec.Struct, frozen=True, kw_only=True):
    """Upstreams that the answering control host knows."""

    upstreams: tuple[Upstream, ...]


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One copy of the replicated log.

    Attributes:
        host: Its control host.
        identity: Made with an empty data folder; a lost disk ends it.
        peer_address: Where it receives messages from control hosts.
        is_voter: Whether it counts for majorities; otherwise it is a learner.
        is_leader: Whether its host leads, as the answering host knows.
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


class Events(msgspec.Struct, frozen=True, kw_only=True):
    """Events of one process.

    Attributes:
        recorded: Pass this as `since` to get only later events.
        lost: Events that left the buffer before this request.
        events: Oldest first.
    """

    recorded: int
    lost: int
    events: tuple[Event, ...]


class Backup(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted configurations, to be kept outside the system.

    Attributes:
        form: Version of the form of this document.
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
