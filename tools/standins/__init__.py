"""Small stand-ins for what spoolhead meets: a model engine, a plain service, a bad network.

They use ``asyncio`` and parse HTTP themselves, on purpose: a fault in a library that the
product uses must not hide behind the same fault on the other side.
"""
