"""The entry role: accepts requests and dispatches them to the workers that the host owns."""
