"""Thin commands over the library.

The package patches the standard library when it is imported, which is before
any module of a program imports sockets or threads.
"""

from waxwingsaddle import green

green.patch()
