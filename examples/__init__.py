"""Settings and release notes of the two current sites."""
