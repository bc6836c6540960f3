"""Load simulation that runs the routing and admission code of the router."""
