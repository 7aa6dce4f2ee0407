"""Sockets and send timing of the load reports, totals and updates between processes."""
