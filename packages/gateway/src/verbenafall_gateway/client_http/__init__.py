"""HTTP servers and applications for clients and administrators."""
