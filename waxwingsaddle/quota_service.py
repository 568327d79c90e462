"""Quotas on a node: admits calls of accounts, and requests their tokens."""

from typing import Any

from eventlet import greenthread
from eventlet.event import Event
from eventlet.timeout import Timeout

from waxwingsaddle import logs, metrics
from waxwingsaddle.call_class import CallAccount
from waxwingsaddle.kernel import Kernel, UnknownServiceError
from waxwingsaddle.quota_limits import QuotaTerms, boot_s, quota_limits
from waxwingsaddle.quota_messages import QuotaGrant
from waxwingsaddle.quota_stock import Admitted, QuotaStock, Refused

# Longest wait of a call for a token.
_WAIT_S = 0.1
# Interval at which a waiting call checks for tokens.
_WAIT_TICK_S = 0.02
# Half of the shortest interval of reports; calls that wait for a token report
# on their own.
_TICK_S = 0.05
_IDLE_TICK_S = 0.2
# Wait that a refused call is told if no control host has told one.
_RETRY_MS = 200

_calls = metrics.counter(
    'waxwing_quota_calls',
    'Calls of accounts with a quota, by decision.',
    ('decision',),
)
_admitted = _calls.labels('admitted')
_refused = _calls.labels('exhausted')
_unconfirmed = _calls.labels('unconfirmed')
_returned = metrics.counter(
    'waxwing_quota_tokens_returned',
    'Tokens of calls that have not run, by whether they could be used again.',
    ('outcome',),
)
_waits = metrics.counter(
    'waxwing_quota_waits', 'Calls that waited for a token.'
)


class QuotaService:
    """Admits calls of accounts within their quotas.

    Args:
        kernel: Provides `configuration` and `control-session`.
        settings: Settings of the node.
    """

    def __init__(self, kernel: Kernel, settings: Any) -> None:
        self._configuration = kernel.find('configuration')
        self._session = kernel.find('control-session')
        self._session.on_grant = self._on_grant
        self._terms = QuotaTerms.of_settings(settings)
        self._stock = QuotaStock(session=1)
        self._is_limited = False
        self._answered = Event()
        self._thread: greenthread.GreenThread | None = None
        kernel.subscribe('configuration-in-force', self._on_configuration)

    def start(self) -> None:
        """Starts the green thread that reports to the control host."""
        self._thread = greenthread.spawn(self._run)

    def stop(self) -> None:
        """Ends the green thread."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def admit(self, account: CallAccount | None) -> Admitted | Refused:
        """Admits or refuses a call; may block for a short time.

        Args:
            account: Account of the call; None if it has none.
        """
        if account is None or not self._is_limited:
            return Admitted()
        decision = self._stock.admit(account.name, boot_s())
        if decision is None:
            decision = self._wait(account.name)
        _count(decision)
        return decision

    def give_back(self, admitted: Admitted) -> None:
        """Returns the token of a call that has not run and will not."""
        if admitted.account:
            is_usable = self._stock.give_back(admitted)
            _returned.labels('usable' if is_usable else 'late').inc()

    def _wait(self, account: str) -> Admitted | Refused:
        _waits.inc()
        deadline_s = boot_s() + _WAIT_S
        self._stock.wait(account, 1)
        try:
            while (now_s := boot_s()) < deadline_s:
                self._report()
                self._wait_for_answer(min(_WAIT_TICK_S, deadline_s - now_s))
                decision = self._stock.admit(account, boot_s(), is_first=False)
                if decision is not None:
                    return decision
        finally:
            self._stock.wait(account, -1)
        return Refused(_RETRY_MS)

    def _wait_for_answer(self, timeout_s: float) -> None:
        with Timeout(timeout_s, exception=False):
            self._answered.wait()

    def _run(self) -> None:
        while True:
            try:
                self._report()
            except Exception:
                # An error in one round must not end the service.
                logs.logger().exception('quota round failed')
            greenthread.sleep(_TICK_S if self._is_limited else _IDLE_TICK_S)

    def _report(self) -> None:
        report = self._stock.report(boot_s())
        if report is not None:
            self._session.send(report)

    def _on_grant(self, grant: QuotaGrant) -> None:
        self._stock.on_grant(grant, boot_s())
        answered = self._answered
        self._answered = Event()
        answered.send()

    def _on_configuration(self, **_fields: Any) -> None:
        current = self._configuration.current
        accounts = {} if current is None else current.document.accounts
        limits = quota_limits(accounts, self._terms)
        self._is_limited = bool(limits)
        self._stock.configure(limits)


class NoQuotas:
    """Admits all calls, where the settings ask for no quotas."""

    def admit(self, account: CallAccount | None) -> Admitted | Refused:
        """Admits a call."""
        return Admitted()

    def give_back(self, admitted: Admitted) -> None:
        """Does nothing."""


def attach(kernel: Kernel, settings: Any) -> None:
    """Provides the service `quotas`; one without limits unless set.

    Args:
        kernel: Kernel of the node; it provides `configuration` already.
        settings: Settings of the node.
    """
    has_quotas = bool(settings.quota_window_ms) and _is_connected(kernel)
    service = QuotaService(kernel, settings) if has_quotas else NoQuotas()
    kernel.provide('quotas', service)


def _is_connected(kernel: Kernel) -> bool:
    """Returns whether the node has a connection to control hosts."""
    try:
        kernel.find('control-session')
    except UnknownServiceError:
        return False
    return True


def _count(decision: Admitted | Refused) -> None:
    if isinstance(decision, Admitted):
        if decision.account:
            _admitted.inc()
    elif decision.is_exhausted:
        _refused.inc()
    else:
        _unconfirmed.inc()
