"""The entry role: callers' requests, dispatch to owned workers, whole answers back."""
