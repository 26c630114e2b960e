"""Jobs made of many tasks: what every control replica knows of them."""
