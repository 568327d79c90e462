"""Imports without the parts of a library that a program never uses."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib import import_module
from importlib.util import find_spec
from types import ModuleType


@contextmanager
def block_imports(*names: str) -> Iterator[None]:
    """Makes imports of modules fail inside, so that fallbacks are taken.

    Modules that are loaded already stay visible.

    Args:
        names: Full names of the modules.
    """
    absent = [name for name in names if name not in sys.modules]
    # None in this table makes an import fail with ImportError.
    sys.modules.update(dict.fromkeys(absent))
    try:
        yield
    finally:
        for name in absent:
            sys.modules.pop(name)


@contextmanager
def stub_imports(*names: str) -> Iterator[None]:
    """Makes imports of modules give empty ones that are not kept.

    For modules that others import at their top and use in functions that the
    program does not call.

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


def import_submodule(package: str, name: str) -> ModuleType:
    """Imports a submodule without running the code of its package.

    Args:
        package: Name of the package.
        name: Name of the submodule inside it.

    Returns:
        The submodule; a later import of the package runs its code as usual.
    """
    spec = find_spec(package)
    is_loaded = package in sys.modules
    if not is_loaded:
        bare = ModuleType(package)
        bare.__path__ = list(spec.submodule_search_locations)
        sys.modules[package] = bare
    try:
        return import_module(f'{package}.{name}')
    finally:
        if not is_loaded:
            sys.modules.pop(package)
