"""Messages of quotas: between nodes and control hosts, and among the latter.

Counters only rise within a session of a node, so that lost, repeated and late
messages do no harm.
"""

import msgspec

from waxwingsaddle.util.numbers import Count


class QuotaNeed(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a node has done with the tokens of an account, and needs.

    Attributes:
        account: Name of the account.
        used: Tokens spent in this session.
        returned: Tokens given back unused in this session.
        needed: Tokens for calls in flight that may return theirs, and for calls
            that wait.
        ahead: Tokens that the node wants to hold for calls to come.
    """

    account: str
    used: Count
    returned: Count
    needed: Count
    ahead: Count


class QuotaReport(
    msgspec.Struct, frozen=True, array_like=True, tag='quota-report'
):
    """A node reports spent tokens and requests new ones.

    Attributes:
        session: Number of the session of the node; a new one holds no tokens.
        stamp_ms: Time of sending on the clock of the node, in milliseconds.
        allocator: Identifier of the allocator that the node holds tokens of; 0
            before its first answer.
        needs: Accounts that have changed.
    """

    session: Count
    stamp_ms: Count
    allocator: Count
    needs: tuple[QuotaNeed, ...] = ()


class QuotaTokens(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tokens of an account that a node has been granted.

    Attributes:
        account: Name of the account.
        granted: Tokens granted in the session so far.
        settled: Tokens spent or given back that the control host knows of.
        retry_after_ms: Time until there may be new tokens, in milliseconds; 0
            unless the account is exhausted.
    """

    account: str
    granted: Count
    settled: Count
    retry_after_ms: Count = 0


class QuotaGrant(
    msgspec.Struct, frozen=True, array_like=True, tag='quota-grant'
):
    """A control host grants tokens to a node.

    Attributes:
        session: Session of the node.
        stamp_ms: Stamp of the report that is answered.
        allocator: Identifier of the allocator; 0 if it does not know the
            session, which has ended then.
        interval_ms: Interval at which the node should report.
        tokens: Accounts of the report.
    """

    session: Count
    stamp_ms: Count
    allocator: Count
    interval_ms: Count = 0
    tokens: tuple[QuotaTokens, ...] = ()


class QuotaRelay(msgspec.Struct, frozen=True, array_like=True):
    """A control host without an allocator passes on the report of a node.

    Attributes:
        node: Routing id of the node.
        report: The report.
    """

    node: bytes
    report: QuotaReport


class QuotaRelayed(msgspec.Struct, frozen=True, array_like=True):
    """Answers a report that was passed on.

    Attributes:
        node: Routing id of the node.
        grant: The answer.
    """

    node: bytes
    grant: QuotaGrant


class QuotaAsk(msgspec.Struct, frozen=True, array_like=True):
    """A control host requests tokens that another one does not need.

    Attributes:
        number: Number of the request.
        tokens: Account and number of tokens.
    """

    number: Count
    tokens: tuple[tuple[str, Count], ...]


class QuotaTransfer(msgspec.Struct, frozen=True, array_like=True):
    """A control host hands over tokens.

    Attributes:
        number: Number of the request.
        tokens: Account and number of tokens.
    """

    number: Count
    tokens: tuple[tuple[str, Count], ...]
