"""Imports of libraries without the parts that a program does not use."""

import sys
from importlib import import_module

from waxwingsaddle.util import imports

PACKAGE = 'xml.sax'


def test_blocked_module_can_be_imported_afterwards():
    """Guards against an optional module that stays blocked."""
    sys.modules.pop('wave', None)
    with imports.block_imports('wave'):
        try:
            import_module('wave')
        except ImportError:
            is_absent = True
        else:
            is_absent = False
    assert is_absent
    assert import_module('wave').Error


def test_loaded_module_is_not_blocked():
    """Guards against blocking a loaded module, which would load it twice."""
    with imports.block_imports('json'):
        assert import_module('json') is sys.modules['json']


def test_package_can_be_imported_after_its_submodule():
    """Guards against a package whose own code is never run.

    A stub of the package that stays in `sys.modules` would cause this.
    """
    loaded = tuple(filter(PACKAGE.__eq__, sys.modules))
    for name in loaded:
        sys.modules.pop(name)
    handler = imports.import_submodule(PACKAGE, 'handler')
    assert PACKAGE not in sys.modules
    package = import_module(PACKAGE)
    assert package.make_parser
    assert package.ContentHandler is handler.ContentHandler


def test_deferred_module_is_imported_when_it_is_used():
    """Guards against an attribute that is missing because of a deferral."""
    sys.modules.pop('wave', None)
    with imports.defer_imports('wave'):
        deferred = import_module('wave')
    assert 'wave' not in sys.modules
    assert deferred.Error is import_module('wave').Error


def test_deferred_submodule_is_found_in_its_package():
    """Guards against `package.module` that fails while it is deferred."""
    name = f'{PACKAGE}.saxutils'
    sys.modules.pop(name, None)
    with imports.defer_imports(name, escape=None):
        package = import_module(PACKAGE)
        assert package.saxutils.escape is None
        assert name in sys.modules
    assert name not in sys.modules
    assert package.saxutils.unescape('&lt;') == '<'
    assert package.saxutils is import_module(name)


def test_loaded_module_is_not_deferred():
    """Guards against deferring a loaded module, which would load it twice."""
    with imports.defer_imports('json', loads=None):
        assert import_module('json').loads


def test_deferred_module_can_be_used_at_once():
    """Guards against a module that loads itself without end.

    Another library, such as pyOpenSSL below eventlet, uses it while it is
    deferred.
    """
    sys.modules.pop('wave', None)
    with imports.defer_imports('wave'):
        used = import_module('wave').Error
    assert used is import_module('wave').Error
