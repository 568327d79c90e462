"""Forwards requests from a control host to the leader, and answers them."""

import secrets
from itertools import count

import msgspec
from eventlet import greenpool, timeout
from eventlet.event import Event

from waxwingsaddle.departure_records import DeparturesStored, HostDepartures
from waxwingsaddle.edits import EditState
from waxwingsaddle.leader_requests import LeaderRequests
from waxwingsaddle.membership import Change
from waxwingsaddle.outcomes import (
    Edit,
    MembersChanged,
    Newest,
    Outcome,
    Unavailable,
)
from waxwingsaddle.packed_edits import pack_edit, unpack_edit
from waxwingsaddle.peers import Peers
from waxwingsaddle.rollout_models import (
    RolloutAccepted,
    RolloutConflict,
    RolloutStart,
)
from waxwingsaddle.util.clock import monotonic_s
from waxwingsaddle.versions import EMPTY_VERSION

# Concurrent forwarded requests; the leader refuses more, because each may
# hold a full set of source files in memory.
MAX_REQUESTS = 64
# Limits the size to which damaged compressed data can inflate. The limit on
# edits from operators, `edit_bytes`, is far smaller.
MAX_EDIT_BYTES = 268_435_456

Answer = (
    Outcome
    | MembersChanged
    | Newest
    | RolloutAccepted
    | RolloutConflict
    | DeparturesStored
)


class ForwardPacked(msgspec.Struct, frozen=True):
    """Asks the leader to decide an edit.

    Attributes:
        request: Id of the request; unique across restarts.
        budget_s: Seconds that the sender waits for the reply.
        body: The edit as encoded by `packed_edits`.
    """

    request: str
    budget_s: float
    body: bytes


class WholeNeeded(msgspec.Struct, frozen=True, tag='whole-needed'):
    """The leader lacks the base of the packed edit and needs all files."""


class ForwardChange(msgspec.Struct, frozen=True):
    """Asks the leader to apply a change of members."""

    request: str
    budget_s: float
    change: Change


class ForwardRead(msgspec.Struct, frozen=True):
    """Asks the leader which version is the newest."""

    request: str
    budget_s: float


class ForwardRollout(msgspec.Struct, frozen=True):
    """Asks the leader to start a rollout."""

    request: str
    budget_s: float
    start: RolloutStart


class ForwardDepartures(msgspec.Struct, frozen=True):
    """Asks the leader to store departures of upstreams."""

    request: str
    budget_s: float
    hosts: tuple[HostDepartures, ...]


class ForwardReply(msgspec.Struct, frozen=True):
    """Replies to a forwarded request."""

    request: str
    answer: Answer | WholeNeeded


class LeaderForwarder:
    """Forwards requests to the leader; as leader, answers other hosts.

    Args:
        peers: Sends and receives messages of control hosts.
        leader_requests: Answers requests on the leader.
        state: Versions that serve as the base of packed edits.
    """

    def __init__(
        self,
        peers: Peers,
        leader_requests: LeaderRequests,
        state: EditState,
    ) -> None:
        self._peers = peers
        self._leader_requests = leader_requests
        self._state = state
        self._pool = greenpool.GreenPool(MAX_REQUESTS)
        self._nonce = secrets.token_hex(4)
        self._counter = count()
        self._pending: dict[str, Event] = {}
        peers.subscribe(ForwardPacked, self._on_edit)
        peers.subscribe(ForwardChange, self._on_change)
        peers.subscribe(ForwardRead, self._on_read)
        peers.subscribe(ForwardRollout, self._on_rollout)
        peers.subscribe(ForwardDepartures, self._on_departures)
        peers.subscribe(ForwardReply, self._on_reply)

    def forward_edit(self, host: str, edit: Edit, budget_s: float) -> Answer:
        """Forwards an edit to a host and waits for the answer.

        The edit is sent as a difference to the newest version. If the leader
        does not have that version, the edit is sent again in full.

        Args:
            host: Name of the host that leads.
            edit: The edit.
            budget_s: Seconds to wait.
        """
        deadline_s = monotonic_s() + budget_s
        for base in (self._state.current, EMPTY_VERSION):
            body = pack_edit(edit, base)
            remaining_s = max(0, deadline_s - monotonic_s())
            answer = self._request_leader(
                host,
                ForwardPacked(self._new_request_id(), remaining_s, body),
            )
            if not isinstance(answer, WholeNeeded):
                return answer
        return Unavailable(reason=f'leader {host} could not decode the edit')

    def forward_change(
        self, host: str, change: Change, budget_s: float
    ) -> Answer:
        """Forwards a change of members to a host and waits for the answer."""
        return self._request_leader(
            host,
            ForwardChange(self._new_request_id(), budget_s, change),
        )

    def forward_newest(
        self, host: str, _request: None, budget_s: float
    ) -> Answer:
        """Asks a host that leads for the newest version."""
        return self._request_leader(
            host, ForwardRead(self._new_request_id(), budget_s)
        )

    def forward_rollout(
        self, host: str, start: RolloutStart, budget_s: float
    ) -> Answer:
        """Forwards an order of a rollout to a host and waits for the answer."""
        return self._request_leader(
            host, ForwardRollout(self._new_request_id(), budget_s, start)
        )

    def forward_departures(
        self, host: str, hosts: tuple[HostDepartures, ...], budget_s: float
    ) -> Answer:
        """Forwards departures to a host that leads and waits for the answer."""
        return self._request_leader(
            host, ForwardDepartures(self._new_request_id(), budget_s, hosts)
        )

    def _new_request_id(self) -> str:
        return f'{self._peers.host}-{self._nonce}-{next(self._counter)}'

    def _request_leader(
        self,
        host: str,
        message: ForwardPacked
        | ForwardChange
        | ForwardRead
        | ForwardRollout
        | ForwardDepartures,
    ) -> Answer | WholeNeeded:
        answer_event = Event()
        self._pending[message.request] = answer_event
        try:
            if not self._peers.send(host, message):
                return Unavailable(reason=f'no connection to leader {host}')
            with timeout.Timeout(message.budget_s, False):
                return answer_event.wait()
        finally:
            self._pending.pop(message.request, None)
        return Unavailable(reason=f'no answer from leader {host} in time')

    def _on_edit(self, sender: str, message: ForwardPacked) -> None:
        self._start_request(sender, message, self._decide_packed, message.body)

    def _decide_packed(
        self,
        body: bytes,
        budget_s: float,
    ) -> Answer | WholeNeeded:
        edit = unpack_edit(body, self._state, MAX_EDIT_BYTES)
        if edit is None:
            return WholeNeeded()
        return self._leader_requests.decide_edit(edit, budget_s)

    def _on_change(self, sender: str, message: ForwardChange) -> None:
        self._start_request(
            sender,
            message,
            self._leader_requests.change_members,
            message.change,
        )

    def _on_read(self, sender: str, message: ForwardRead) -> None:
        self._start_request(
            sender, message, self._leader_requests.read_newest, None
        )

    def _on_rollout(self, sender: str, message: ForwardRollout) -> None:
        self._start_request(
            sender, message, self._leader_requests.decide_rollout, message.start
        )

    def _on_departures(self, sender: str, message: ForwardDepartures) -> None:
        self._start_request(
            sender,
            message,
            self._leader_requests.store_departures,
            message.hosts,
        )

    def _start_request(self, sender: str, message, decide, request) -> None:
        if self._pool.free() > 0:
            self._pool.spawn_n(
                self._answer_request, sender, message, decide, request
            )
        else:
            busy = Unavailable(reason='the leader has too many requests')
            self._peers.send(sender, ForwardReply(message.request, busy))

    def _answer_request(self, sender: str, message, decide, request) -> None:
        answer = decide(request, message.budget_s)
        self._peers.send(sender, ForwardReply(message.request, answer))

    def _on_reply(self, _sender: str, reply: ForwardReply) -> None:
        answer_event = self._pending.pop(reply.request, None)
        if answer_event is not None:
            answer_event.send(reply.answer)
