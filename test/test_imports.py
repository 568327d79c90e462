"""Imports without the parts of a library that a program never uses."""

import sys
from importlib import import_module

from waxwingsaddle.util import imports

PACKAGE = 'xml.sax'


def test_hidden_module_is_back_afterwards():
    """Guards against a program that can't import an optional module later."""
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


def test_loaded_module_stays_visible():
    """Guards against a module that is loaded twice."""
    with imports.block_imports('json'):
        assert import_module('json') is sys.modules['json']


def test_package_can_be_imported_after_its_submodule():
    """Guards against a package that stays without its own code."""
    loaded = tuple(filter(PACKAGE.__eq__, sys.modules))
    for name in loaded:
        sys.modules.pop(name)
    handler = imports.import_submodule(PACKAGE, 'handler')
    assert PACKAGE not in sys.modules
    package = import_module(PACKAGE)
    assert package.make_parser
    assert package.ContentHandler is handler.ContentHandler
