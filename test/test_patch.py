"""Tests of differences between document trees."""

from hypothesis import given
from hypothesis import strategies as st

from waxwingsaddle import patch

_keys = st.sampled_from('abcd')
_trees = st.recursive(
    st.dictionaries(_keys, st.integers(0, 3)),
    lambda child: st.dictionaries(_keys, child | st.integers(0, 3)),
    max_leaves=12,
)


@given(_trees, _trees)
def test_patch_turns_old_into_new(old, new):
    """Guards against a delta with a wrong result or a changed base."""
    original_repr = repr(old)
    assert patch.apply(old, patch.difference(old, new)) == new
    assert repr(old) == original_repr


def test_equal_values_of_other_types_are_differences():
    """Guards against a delta whose result has another digest.

    1, 1.0 and True are equal in Python but encoded differently.
    """
    for old, new in ((1, True), (0, 0.0), ([1], [True])):
        operations = patch.difference({'a': old}, {'a': new})
        assert repr(operations[0].content) == repr(new)


def test_patch_on_wrong_base_is_an_error():
    """Guards against a delta that is applied to the wrong base."""
    operation = patch.Operation(('a', 'b'), is_delete=True)
    for tree in ({}, {'a': 1}, {'a': {}}):
        try:
            patch.apply(tree, (operation,))
        except patch.PatchError:
            continue
        raise AssertionError(f'no error for {tree}')
