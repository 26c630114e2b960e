"""The HTTP interfaces of an entry host, by who calls them."""
