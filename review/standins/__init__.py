"""Stand-ins of the review: platform, operator, upstreams and callers."""
