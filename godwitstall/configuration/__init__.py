"""Release notes and the configuration that results from them."""
