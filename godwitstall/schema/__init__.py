"""Messages and stored records, a module for each duty; see messages.py."""
