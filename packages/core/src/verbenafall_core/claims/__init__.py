"""Claims, which let each non-idempotent request run at most once."""
