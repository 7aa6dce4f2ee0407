"""Adapter to the users' platform: its names, formats and calls; nothing here decides.

A change of settings may be signalled while a program is still starting, and the signal's default
is to end the process. So it is ignored from here on, which is imported before the rest, until
the program's loop takes it. What it would have told is read at the start anyway.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
