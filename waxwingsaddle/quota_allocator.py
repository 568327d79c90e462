"""Hands out tokens of accounts to nodes, on one control host.

Each of a fixed number of control hosts creates an equal part of the tokens of
every account and passes on those that it does not need. It answers to demand
that is too small and too uneven for a fixed part per node: an account sends
calls to any of 70 or 1,200 nodes, less than one a second to each.
"""

from collections.abc import Mapping
from dataclasses import replace
from math import inf

from waxwingsaddle.quota_ledger import QuotaLedger
from waxwingsaddle.quota_limits import EXPIRY_S, QuotaLimit
from waxwingsaddle.quota_messages import (
    QuotaAsk,
    QuotaGrant,
    QuotaNeed,
    QuotaReport,
    QuotaTokens,
    QuotaTransfer,
)
from waxwingsaddle.quota_sessions import (
    Holding,
    Session,
    is_inconsistent,
    take_due,
)

# Quotas that have left the configuration are kept for this time, because they
# may return while tokens from before are in use.
_REMOVED_KEPT_S = 60.0
# A report takes 0.2 to 0.3 ms with its answer, most of it in ZeroMQ. Spent
# tokens make room for new ones when they are reported, so it can't be long.
_INTERVAL_MS_PER_NODE = 2
_MIN_INTERVAL_MS = 100
_MAX_INTERVAL_MS = 200


class QuotaAllocator:
    """Tokens of all accounts that belong to one control host.

    Tokens that nodes hold expire there before they expire here, and count as
    spent then: whether they were is not known.

    Args:
        identifier: Positive number that no earlier allocator had.
        share: Part of the tokens that this host creates.
        window_s: Window over which calls are counted, in seconds.
        old_until_s: Until when nodes may hold tokens of an earlier allocator
            of this host. The capacity is that after a restart until then.
    """

    def __init__(
        self,
        identifier: int,
        share: float,
        window_s: float,
        old_until_s: float = -inf,
    ) -> None:
        self._identifier = identifier
        self._share = share
        self._window_s = window_s
        self._old_until_s = old_until_s
        self._limits: Mapping[str, QuotaLimit] = {}
        self._ledgers: dict[str, QuotaLedger] = {}
        self._sessions: dict[bytes, Session] = {}
        self._expiring: list[Session] = []
        self._removed_at_s: dict[str, float] = {}
        self._ask_number = 0
        self._busy: set[str] = set()
        self._asked_at_s: dict[tuple[str, int], float] = {}

    @property
    def sessions(self) -> int:
        """Number of nodes that may hold tokens."""
        return len(self._sessions)

    @property
    def exhausted(self) -> int:
        """Number of accounts without tokens."""
        return sum(
            ledger.short_since_s is not None
            for ledger in self._ledgers.values()
        )

    def configure(
        self, limits: Mapping[str, QuotaLimit], now_s: float, is_full: bool
    ) -> None:
        """Applies the quotas of a configuration.

        Args:
            limits: Quotas by account.
            now_s: Current time.
            is_full: Whether new accounts start with all their tokens; not if
                nodes may hold tokens of an earlier allocator.
        """
        self._limits = limits
        if now_s < self._old_until_s:
            limits = {
                name: replace(limit, capacity=limit.restart_capacity)
                for name, limit in limits.items()
            }
        for name, limit in limits.items():
            self._removed_at_s.pop(name, None)
            ledger = self._ledgers.get(name)
            if ledger is None:
                capacity = limit.capacity * self._share
                rate_per_s = limit.rate_per_s * self._share
                level = capacity if is_full else 0
                self._ledgers[name] = QuotaLedger(
                    rate_per_s, capacity, limit, now_s, level
                )
            elif ledger.is_removed or ledger.limit != limit:
                ledger.change_limit(limit, self._share, now_s, self._window_s)
        for name in self._ledgers.keys() - limits.keys():
            self._ledgers[name].is_removed = True
            self._removed_at_s.setdefault(name, now_s)

    def on_report(
        self, node: bytes, report: QuotaReport, now_s: float
    ) -> QuotaGrant | None:
        """Takes in a report and grants tokens.

        Args:
            node: Routing id of the node, different after each of its starts.
            report: The report.
            now_s: Current time.

        Returns:
            The answer; None for a report of an earlier session.
        """
        session = self._sessions.get(node)
        if session is not None and report.session < session.number:
            return None
        if session is None or report.session > session.number:
            if report.allocator:
                return QuotaGrant(report.session, report.stamp_ms, 0)
            session = self._open_session(node, report.session, now_s)
        if report.allocator not in {0, self._identifier} or any(
            is_inconsistent(session, need) for need in report.needs
        ):
            return QuotaGrant(report.session, report.stamp_ms, 0)
        session.expires_at_s = now_s + EXPIRY_S
        granted = tuple(
            self._serve(session, need, now_s)
            for need in report.needs
            if need.account in self._ledgers
        )
        return QuotaGrant(
            report.session,
            report.stamp_ms,
            self._identifier,
            self._interval_ms(),
            granted,
        )

    def expire(self, now_s: float) -> None:
        """Ends the sessions of silent nodes and forgets removed accounts."""
        if self._old_until_s <= now_s and self._old_until_s > -inf:
            self._old_until_s = -inf
            for name, limit in self._limits.items():
                self._ledgers[name].end_restart(limit, self._share, now_s)
        silent = [
            node
            for node, known in self._sessions.items()
            if known.expires_at_s <= now_s
        ]
        self._expiring += map(self._sessions.pop, silent)
        for session in take_due(self._expiring, now_s):
            self._settle_all(session, now_s)
        self._forget_removed(now_s)

    def ask(self, host: str, now_s: float) -> QuotaAsk | None:
        """Returns the request for tokens of another host, if any are lacking.

        Args:
            host: Name of the other host.
            now_s: Current time.
        """
        self._busy = {
            name
            for name in self._busy & self._ledgers.keys()
            if self._ledgers[name].is_busy(now_s)
        }
        lacking = tuple(
            (name, tokens)
            for name in sorted(self._busy)
            if (tokens := self._ledgers[name].shortage(now_s))
        )
        self._asked_at_s = {
            key: asked_at_s
            for key, asked_at_s in self._asked_at_s.items()
            if now_s - asked_at_s < 1
        }
        if not lacking:
            return None
        self._ask_number += 1
        self._asked_at_s[host, self._ask_number] = now_s
        return QuotaAsk(self._ask_number, lacking)

    def on_ask(self, ask: QuotaAsk, now_s: float) -> QuotaTransfer:
        """Returns the tokens that this host can do without."""
        given = (
            (name, self._ledgers[name].spare(wanted, now_s))
            for name, wanted in ask.tokens
            if name in self._ledgers
        )
        return QuotaTransfer(
            ask.number,
            tuple((name, number) for name, number in given if number),
        )

    def on_transfer(
        self, host: str, transfer: QuotaTransfer, now_s: float
    ) -> int:
        """Adds the tokens of another host; returns how many it sent.

        Tokens that were on the way for longer than the transit time, and
        repeated messages, are dropped: the sender has created new tokens in
        their place.
        """
        asked_at_s = self._asked_at_s.pop((host, transfer.number), None)
        if asked_at_s is None:
            return 0
        for name, tokens in transfer.tokens:
            ledger = self._ledgers.get(name)
            if ledger and now_s - asked_at_s <= ledger.limit.transit_s:
                ledger.add(tokens, now_s)
        return sum(number for _, number in transfer.tokens)

    def _open_session(self, node: bytes, number: int, now_s: float) -> Session:
        previous = self._sessions.pop(node, None)
        if previous is not None:
            self._expiring.append(previous)
        session = Session(number, now_s + EXPIRY_S)
        self._sessions[node] = session
        return session

    def _serve(
        self, session: Session, need: QuotaNeed, now_s: float
    ) -> QuotaTokens:
        holding = session.holdings.setdefault(need.account, Holding())
        ledger = self._ledgers[need.account]
        used = max(need.used, holding.used)
        returned = max(need.returned, holding.returned)
        ledger.settle(used - holding.used, returned - holding.returned, now_s)
        holding.used = used
        holding.returned = returned
        ledger.ahead += need.ahead - holding.ahead
        holding.ahead = need.ahead
        wanted = (
            need.needed + ledger.allowance(need.ahead) - holding.outstanding
        )
        granted = ledger.take(wanted, now_s)
        holding.granted += granted
        is_empty = wanted > 0 and not holding.outstanding
        retry_after_ms = ledger.retry_after_ms(wanted, now_s) if is_empty else 0
        if ledger.is_busy(now_s):
            self._busy.add(need.account)
        return QuotaTokens(
            need.account, holding.granted, used + returned, retry_after_ms
        )

    def _interval_ms(self) -> int:
        wanted_ms = len(self._sessions) * _INTERVAL_MS_PER_NODE
        return max(_MIN_INTERVAL_MS, min(wanted_ms, _MAX_INTERVAL_MS))

    def _settle_all(self, session: Session, now_s: float) -> None:
        for name, holding in session.holdings.items():
            ledger = self._ledgers.get(name)
            if ledger is not None:
                ledger.ahead -= holding.ahead
                ledger.settle(holding.outstanding, 0, now_s)

    def _forget_removed(self, now_s: float) -> None:
        forgotten = [
            name
            for name, removed_at_s in self._removed_at_s.items()
            if now_s - removed_at_s > _REMOVED_KEPT_S
        ]
        for name in forgotten:
            self._removed_at_s.pop(name)
            self._ledgers.pop(name)
            for session in (*self._sessions.values(), *self._expiring):
                session.holdings.pop(name, None)
