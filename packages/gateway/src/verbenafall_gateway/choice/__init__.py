"""Endpoint selection and admission of requests."""
