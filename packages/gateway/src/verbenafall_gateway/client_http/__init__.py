"""Serves clients and operators over HTTP."""
