"""The rank group of model engines: runs, steps, orders, HTTP."""
