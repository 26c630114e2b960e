"""Messages between savoryshelf's processes and the links that carry them."""
