"""Imports libraries without the parts that a program does not use."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib import import_module
from importlib.util import find_spec
from types import ModuleType
from typing import Any


class _DeferredModule(ModuleType):
    """Stands in for a module, which is imported when it is first used.

    `importlib.util.LazyLoader` does not serve here: it loads a module as soon
    as a second module imports it.
    """

    def __getattr__(self, name: str) -> Any:
        """Returns an attribute of the module itself."""
        if name.startswith('__'):
            raise AttributeError(name)
        # A library may use it while it is still deferred.
        if sys.modules.get(self.__name__) is self:
            sys.modules.pop(self.__name__)
        return getattr(import_module(self.__name__), name)


@contextmanager
def block_imports(*names: str) -> Iterator[None]:
    """Makes imports of modules fail, so that libraries use their fallbacks.

    Modules that are already loaded can still be imported.

    Args:
        names: Full names of the modules.
    """
    absent = [name for name in names if name not in sys.modules]
    # None in `sys.modules` makes an import fail with ImportError.
    sys.modules.update(dict.fromkeys(absent))
    try:
        yield
    finally:
        for name in absent:
            sys.modules.pop(name)


@contextmanager
def stub_imports(*names: str) -> Iterator[None]:
    """Replaces modules with empty ones, which are removed afterwards.

    For modules that libraries import at module level but use only in functions
    that the program does not call. Modules that are already loaded are not
    replaced.

    Args:
        names: Full names of the modules.
    """
    absent = [name for name in names if name not in sys.modules]
    sys.modules.update({name: ModuleType(name) for name in absent})
    try:
        yield
    finally:
        for name in absent:
            sys.modules.pop(name)


@contextmanager
def defer_imports(*names: str, **attributes: Any) -> Iterator[None]:
    """Puts off imports until a module is first used.

    For modules that libraries import at module level and use only in functions
    that a program rarely calls. Modules that are already loaded are not
    deferred.

    Args:
        names: Full names of the modules.
        attributes: Attributes that libraries read at module level, which do
            not count as a use.
    """
    deferred = {
        name: _DeferredModule(name) for name in names if name not in sys.modules
    }
    sys.modules.update(deferred)
    for name, module in deferred.items():
        vars(module).update(attributes)
        package, _, child = name.rpartition('.')
        if package:
            # An import of the module replaces this attribute.
            setattr(import_module(package), child, module)
    try:
        yield
    finally:
        for name, module in deferred.items():
            if sys.modules.get(name) is module:
                sys.modules.pop(name)


def import_submodule(package: str, name: str) -> ModuleType:
    """Imports a submodule without running the `__init__` of its package.

    Args:
        package: Name of the package.
        name: Name of the submodule in the package.

    Returns:
        The submodule. A later import of the package runs its code as usual.
    """
    spec = find_spec(package)
    is_loaded = package in sys.modules
    if not is_loaded:
        stub = ModuleType(package)
        stub.__path__ = list(spec.submodule_search_locations)
        sys.modules[package] = stub
    try:
        return import_module(f'{package}.{name}')
    finally:
        if not is_loaded:
            sys.modules.pop(package)
