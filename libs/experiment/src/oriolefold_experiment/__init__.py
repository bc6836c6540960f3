"""Simulation of load that uses the routing decisions of the product."""
