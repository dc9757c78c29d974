"""At-most-once records of operations."""
