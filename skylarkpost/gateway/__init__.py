"""Front end for routed HTTP requests, built on the shared filters and cores."""
