"""How processes tell each other of the work that entries hold: sockets and times of both sides."""
