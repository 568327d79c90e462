"""Quotas on a control host: reports of nodes, and tokens of other hosts."""

from typing import Any

import msgspec
from eventlet import greenthread

from waxwingsaddle import logs, metrics
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.quota_allocator import QuotaAllocator
from waxwingsaddle.quota_eligibility import QuotaEligibility
from waxwingsaddle.quota_limits import (
    QuotaLimit,
    QuotaTerms,
    boot_s,
    quota_limits,
)
from waxwingsaddle.quota_messages import (
    QuotaAsk,
    QuotaRelay,
    QuotaRelayed,
    QuotaReport,
    QuotaTransfer,
)
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s, wall_ms
from waxwingsaddle.util.codec import Tree

_TICK_S = 0.02
# Without quotas in the configuration, there is nothing to do.
_IDLE_TICK_S = 0.2
# A host that has not answered a report for this time is not asked next.
_RELAY_TIMEOUT_S = 0.2
# The monotonic clock stands still while a host sleeps. Both clocks are read
# one after the other, so that small differences mean nothing.
_SLEEP_S = 0.2

_active = metrics.gauge(
    'waxwing_quota_allocator',
    'Whether this control host creates tokens of quotas.',
)
_sessions = metrics.gauge(
    'waxwing_quota_nodes', 'Nodes that may hold tokens of this control host.'
)
_exhausted = metrics.gauge(
    'waxwing_quota_exhausted', 'Accounts without tokens at this control host.'
)
_tokens_moved = metrics.counter(
    'waxwing_quota_tokens_moved',
    'Tokens handed over between control hosts.',
    ('direction',),
)


class _QuotaFields(msgspec.Struct, frozen=True):
    """Fields of an account that its quota depends on."""

    rate_per_s: float = 0
    burst: float = 0


class QuotaExchange:
    """Answers the reports of nodes and moves tokens between control hosts.

    Args:
        kernel: Provides `replication`, `peers` and `distribution`.
        settings: Settings of the control host.
    """

    def __init__(self, kernel: Kernel, settings: Any) -> None:
        self._host = settings.host
        self._replication = kernel.find('replication')
        self._peers = kernel.find('peers')
        self._distribution = kernel.find('distribution')
        self._terms = QuotaTerms.of_settings(settings)
        self._holders = settings.voters_wanted or len(settings.initial_voters)
        now_s = boot_s()
        self._awake_s = now_s - monotonic_s()
        self._eligibility = QuotaEligibility(
            now_s,
            was_holder=self._is_holder()
            or (
                self._is_holder() is None
                and settings.host in settings.initial_voters
            ),
        )
        self._limits: dict[str, QuotaLimit] = {}
        self._allocator: QuotaAllocator | None = None
        self._asked = 0
        self._relay_host = ''
        self._relayed_at_s = float('inf')
        self._thread: greenthread.GreenThread | None = None
        kernel.subscribe('configuration-accepted', self._on_configuration)
        self._distribution.serve_quotas(self._on_report)
        for message_type, handler in (
            (QuotaRelay, self._on_relay),
            (QuotaRelayed, self._on_relayed),
            (QuotaAsk, self._on_ask),
            (QuotaTransfer, self._on_transfer),
        ):
            self._peers.subscribe(message_type, handler)

    def start(self) -> None:
        """Starts the green thread that requests and expires tokens."""
        self._on_configuration()
        self._thread = greenthread.spawn(self._run)

    def stop(self) -> None:
        """Ends the green thread."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def _run(self) -> None:
        while True:
            try:
                self._tick()
            except Exception:
                # An error in one round must not end the service.
                logs.logger().exception('quota round failed')
            greenthread.sleep(_TICK_S if self._limits else _IDLE_TICK_S)

    def _tick(self) -> None:
        allocator = self._find_allocator()
        _active.set(allocator is not None)
        if allocator is None:
            return
        now_s = boot_s()
        allocator.expire(now_s)
        _sessions.set(allocator.sessions)
        _exhausted.set(allocator.exhausted)
        others = self._other_holders()
        if others:
            self._asked += 1
            host = others[self._asked % len(others)]
            request = allocator.ask(host, now_s)
            if request is not None:
                self._peers.send(host, request)

    def _on_configuration(self, **_fields: Any) -> None:
        limits: dict[str, QuotaLimit] = {}
        for tree in self._replication.state.sites.values():
            for name, limit in _site_limits(tree, self._terms).items():
                lower = min(
                    (limit, limits.get(name, limit)),
                    key=lambda each: each.rate_per_s,
                )
                limits[name] = lower
        self._limits = limits
        if self._allocator is not None:
            self._allocator.configure(limits, boot_s(), is_full=True)

    def _find_allocator(self) -> QuotaAllocator | None:
        """Returns the allocator while this host may create tokens."""
        now_s = boot_s()
        awake_s = now_s - monotonic_s()
        if awake_s - self._awake_s > _SLEEP_S:
            self._eligibility.suspend()
        self._awake_s = awake_s
        was_active = self._allocator is not None
        is_active = self._eligibility.update(
            self._is_holder(),
            self._replication.majority_age_ms() / MS_PER_S,
            now_s,
        )
        if is_active != was_active:
            self._change_allocator(is_active, now_s)
        return self._allocator

    def _change_allocator(self, is_active: bool, now_s: float) -> None:
        if is_active:
            # Tokens of an earlier allocator may have been spent just now.
            self._allocator = QuotaAllocator(
                wall_ms(),
                1 / self._holders,
                self._terms.window_s,
                self._eligibility.old_until_s,
            )
            self._allocator.configure(self._limits, now_s, is_full=False)
        else:
            self._allocator = None
        logs.logger().info('quota allocator', is_active=is_active)

    def _holder_hosts(self) -> tuple[str, ...]:
        members = self._replication.members()
        return tuple(voter.host for voter in members.voters[: self._holders])

    def _is_holder(self) -> bool | None:
        hosts = self._holder_hosts()
        return self._host in hosts if hosts else None

    def _other_holders(self) -> tuple[str, ...]:
        return tuple(
            host for host in self._holder_hosts() if host != self._host
        )

    def _on_report(self, node: bytes, report: QuotaReport) -> None:
        allocator = self._find_allocator()
        if allocator is None:
            self._relay(node, report)
            return
        grant = allocator.on_report(node, report, boot_s())
        if grant is not None:
            self._distribution.send_to_node(node, grant)

    def _relay(self, node: bytes, report: QuotaReport) -> None:
        others = self._other_holders()
        if not others:
            return
        now_s = boot_s()
        is_silent = now_s - self._relayed_at_s > _RELAY_TIMEOUT_S
        if is_silent or self._relay_host not in others:
            self._asked += 1
            self._relay_host = others[self._asked % len(others)]
            self._relayed_at_s = now_s
        self._relayed_at_s = min(self._relayed_at_s, now_s)
        self._peers.send(self._relay_host, QuotaRelay(node, report))

    def _on_relay(self, sender: str, message: QuotaRelay) -> None:
        allocator = self._find_allocator()
        if allocator is None:
            return
        grant = allocator.on_report(message.node, message.report, boot_s())
        if grant is not None:
            self._peers.send(sender, QuotaRelayed(message.node, grant))

    def _on_relayed(self, sender: str, message: QuotaRelayed) -> None:
        if sender == self._relay_host:
            self._relayed_at_s = float('inf')
        self._distribution.send_to_node(message.node, message.grant)

    def _on_ask(self, sender: str, message: QuotaAsk) -> None:
        allocator = self._find_allocator()
        if allocator is None:
            return
        transfer = allocator.on_ask(message, boot_s())
        if transfer.tokens:
            _tokens_moved.labels('sent').inc(_count(transfer))
            self._peers.send(sender, transfer)

    def _on_transfer(self, sender: str, message: QuotaTransfer) -> None:
        allocator = self._find_allocator()
        if allocator is not None:
            received = allocator.on_transfer(sender, message, boot_s())
            _tokens_moved.labels('received').inc(received)


def _site_limits(tree: Tree, terms: QuotaTerms) -> dict[str, QuotaLimit]:
    accounts = msgspec.convert(
        tree.get('accounts', {}), dict[str, _QuotaFields], strict=False
    )
    return quota_limits(accounts, terms)


def _count(transfer: QuotaTransfer) -> int:
    return sum(number for _, number in transfer.tokens)


def attach(kernel: Kernel, settings: Any) -> None:
    """Provides the service `quotas` where the settings ask for it.

    Args:
        kernel: Kernel of the control host; it provides `replication`, `peers`
            and `distribution` already.
        settings: Settings of the control host.
    """
    if settings.quota_window_ms:
        kernel.provide('quotas', QuotaExchange(kernel, settings))
