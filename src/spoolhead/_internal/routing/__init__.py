"""The route table: where requests may go, and for whom."""
