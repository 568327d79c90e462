"""Forwarding of edits to the leader, as differences or in full."""

from types import SimpleNamespace
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from waxwingsaddle.config import SourceSet, check_sources
from waxwingsaddle.distribution_rig import base_file
from waxwingsaddle.edits import EditState
from waxwingsaddle.leader_forwarding import LeaderForwarder
from waxwingsaddle.outcomes import Accepted, Edit, Unavailable
from waxwingsaddle.packed_edits import pack_edit, unpack_edit

SERVICES = 62
SITES = {f'site-{number}': '' for number in range(6)}
LIMIT_BYTES = 1_000_000
# The edit is one changed line; a delta for a node has 344 bytes.
ONE_LINE_BYTES = 344
BUDGET_S = 5


def _edit(version, overlays=SITES, author='ann'):
    base = base_file(version, SERVICES)
    return Edit(sources=SourceSet(base=base, overlays=overlays), author=author)


def _state(*edits):
    state = EditState(versions_kept=3, history_kept=10)
    for edit in edits:
        state.apply(state.encode_entry(edit, check_sources(edit.sources), 5))
    return state


def test_one_line_edit_is_sent_as_one_line():
    """Guards against full files in messages between control hosts.

    An edit that changes one line must be sent as that line.
    """
    state = _state(_edit(1))
    packed = pack_edit(_edit(2), state.current)
    assert len(packed) < ONE_LINE_BYTES, len(packed)
    assert unpack_edit(packed, state, LIMIT_BYTES) == _edit(2)


def test_other_files_under_the_same_version_are_noticed():
    """Guards against an edit that is rebuilt from a different base.

    The receiver has other files under the same version number; it must not
    apply the difference, but still decode an edit that is sent in full.
    """
    sender = _state(_edit(1, SITES | {'site-0': '# theirs\n'}))
    receiver = _state(_edit(1, SITES | {'site-0': '# ours\n'}))
    edit = _edit(2, SITES | {'site-0': '# theirs\n'})
    packed = pack_edit(edit, sender.current)
    unpacked = unpack_edit(packed, receiver, LIMIT_BYTES)
    assert unpacked is None
    restore = structs.replace(edit, is_restore=True)
    assert unpack_edit(pack_edit(restore), receiver, LIMIT_BYTES) == restore


_line = st.text('ab# ', max_size=4).map('#{}\n'.format)
_text = st.lists(_line, max_size=6).map(''.join)
_files = st.dictionaries(st.sampled_from('xyz'), _text, min_size=1)


@given(_files, _files, st.binary(max_size=4), st.integers(0, 60))
def test_packed_edit_arrives_unchanged_or_not_at_all(old, new, damage, offset):
    """Guards against edits that arrive changed.

    A damaged edit must be decoded unchanged or not at all.
    """
    state = _state(_edit(1, old))
    edit = _edit(2, new, 'bob')
    packed = pack_edit(edit, state.current)
    assert unpack_edit(packed, state, LIMIT_BYTES) == edit
    damaged = packed[:offset] + damage + packed[offset + len(damage) :]
    assert unpack_edit(damaged, state, LIMIT_BYTES) in (None, edit)


class _Peers:
    """Delivers messages between two hosts synchronously."""

    def __init__(self, host):
        self.host = host
        self.other = self
        self.handlers = {}
        self.sent = []

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, _host, message):
        self.sent.append(message)
        self.other.handlers[type(message)](self.host, message)
        return True


def _decide(edit, _budget_s):
    return Accepted(
        version=check_sources(edit.sources).version,
        digest='',
        author=edit.author,
        accepted_ms=1,
    )


def _forwarded(edit, follower_state, leader_state):
    peers, leader = _Peers('c0'), _Peers('c1')
    peers.other = leader
    leader.other = peers
    leader_requests = SimpleNamespace(decide_edit=_decide, change_members=None)
    LeaderForwarder(leader, leader_requests, leader_state)
    forwarder = LeaderForwarder(peers, leader_requests, follower_state)
    return forwarder.forward_edit('c1', edit, BUDGET_S), peers.sent


def test_leader_without_the_base_gets_all_files():
    """Guards against an edit that is lost because versions differ.

    The leader lacks the base version, or has other files under its number.
    The edit must then be sent again in full.
    """
    edit = _edit(3)
    for leader_edits in (
        (),
        (_edit(1),),
        (_edit(1), _edit(2, {'zone': '# other\n'})),
    ):
        answer, sent = _forwarded(
            edit,
            _state(_edit(1), _edit(2)),
            _state(*leader_edits),
        )
        assert answer.version == 3
        assert len(sent) == 2, leader_edits


def test_unreadable_edit_is_answered():
    """Guards against an edit without an outcome if it cannot be decoded.

    The leader fails to decompress the edit even when it is sent in full.
    """
    decompress = 'waxwingsaddle.packed_edits.decompress'
    with mock.patch(decompress, side_effect=ValueError('damaged')):
        answer, _ = _forwarded(_edit(1), _state(), _state())
    assert isinstance(answer, Unavailable)
