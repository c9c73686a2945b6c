"""Stand-ins for the platform, its servers and its consumers, for the review's cases."""
