"""Chooses and keeps links with sidecars."""
