"""Which requests run at the backend server, wait or are refused."""
