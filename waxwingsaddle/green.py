"""Patches the standard library for eventlet.

Every program imports this module first. Addresses are IP numbers, so the
eventlet DNS resolver, which costs about 6 MB, is switched off.
"""

import os

os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

import eventlet

eventlet.monkey_patch()
