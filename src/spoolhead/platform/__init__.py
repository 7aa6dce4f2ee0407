"""Adapter to the users' platform: translates its names, formats and calls; makes no decisions.

SIGHUP, which signals changed settings, may arrive while a program is starting, and by default it
terminates the process. So this package, which is imported first, ignores the signal until the
program's event loop handles it. The program reads its settings at the start anyway.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
