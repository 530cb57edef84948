"""Front end for routed HTTP requests, over the shared filters and cores."""
