"""Stand-ins for the environment of spoolhead: model engine, plain service, platform, bad network.

They use ``asyncio`` and their own HTTP parser on purpose: a bug in a library that spoolhead uses
must not be hidden by the same bug on the other side.
"""
