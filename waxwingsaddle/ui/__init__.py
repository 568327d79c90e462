"""Entry points of the programs, as thin layers over the library.

Importing this package patches the standard library. This happens before a
module of a program imports sockets or threads.
"""

from waxwingsaddle import green

green.patch()
