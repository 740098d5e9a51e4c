"""Selection and maintenance of links to sidecars."""
