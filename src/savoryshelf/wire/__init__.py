"""Messages between savoryshelf's processes, and the connections that carry them."""
