"""Choice of the backend server for a request, and the limits it respects."""
