"""Everything said to and heard from the backend server beside the daemon."""
